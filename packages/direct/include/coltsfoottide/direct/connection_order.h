#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Tells which connection of an agent is its latest. What an agent sent on an earlier one may
// arrive after the first messages on the latest, since the network delivers what it has held
// up even if the sender has closed the connection meanwhile.
class ConnectionOrder {
 public:
  // The agent's process says hello on a connection. `process` differs between its processes,
  // `number` rises with its connections; 0 if the agent does not number them. Returns whether
  // the connection is the latest one.
  bool OnHello(const std::string& agent, std::uint64_t process, std::uint64_t number,
               core::TimePoint now);

  // Forgets connections on which a hello arrived long ago. No earlier connection can be open
  // by then.
  void Forget(core::TimePoint now);

  std::size_t size() const { return latest_.size(); }

 private:
  struct Latest {
    std::uint64_t process = 0;
    std::uint64_t number = 0;
    core::TimePoint time;
    std::deque<std::uint64_t> earlier_processes;
  };

  std::map<std::string, Latest> latest_;
};

}  // namespace coltsfoottide::direct
