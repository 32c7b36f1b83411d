// Applies two operators' changes of one quota and shows which one wins.

#include <iostream>
#include <string>

#include "coltsfoottide/core/config_state.h"

namespace {

using coltsfoottide::core::ConfigState;

// The record of a change that expects the quota not to exist yet (version 0).
std::string QuotaRecord(const std::string& change_id, std::uint32_t starts_per_second) {
  coltsfoottide::wire::LogRecord record;
  auto* change = record.mutable_change();
  change->set_change_id(change_id);
  change->set_key("quota/coaches");
  change->set_check_version(true);
  change->mutable_value()->mutable_quota()->set_team("coaches");
  change->mutable_value()->mutable_quota()->set_starts_per_second(starts_per_second);
  return record.SerializeAsString();
}

}  // namespace

int main() {
  ConfigState state;
  state.Apply(0, QuotaRecord("first", 100));
  state.Apply(1, QuotaRecord("second", 200));
  for (const char* id : {"first", "second"}) {
    std::cout << id << (state.Outcome(id)->won() ? " won\n" : " lost\n");
  }
  std::cout << "quota: " << state.Quota("coaches")->starts_per_second() << " starts/s\n";
  return state.Quota("coaches")->starts_per_second() == 100 ? 0 : 1;
}
