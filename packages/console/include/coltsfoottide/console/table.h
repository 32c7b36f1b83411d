#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace coltsfoottide::console {

// Rows of text in aligned columns.
//
//   Table table({"NAME", "STATE"});
//   table.AddRow({"fes-c", "in"});
//   table.Print(std::cout);
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  void AddRow(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace coltsfoottide::console
