#include "coltsfoottide/console/table.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::console {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

Table::Table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

void Table::AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

void Table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  for (const auto& row : rows_) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      const bool last = n + 1 == row.size();
      out << row[n] << std::string(last ? 0 : widths[n] - row[n].size() + kColumnGap, ' ');
    }
    out << '\n';
  }
}

}  // namespace coltsfoottide::console
