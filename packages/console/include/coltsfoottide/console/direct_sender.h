#pragma once

#include <string>
#include <vector>

#include "coltsfoottide/console/history_file.h"
#include "coltsfoottide/console/job_sender.h"
#include "coltsfoottide/http/client.h"

namespace coltsfoottide::console {

// Sends the single task of each job to the backend servers round robin,
// bypassing the dispatcher, as a baseline.
class DirectSender final : public JobSender {
 public:
  DirectSender(http::Client& client, std::vector<std::string> urls, HistoryFile& history,
               std::uint64_t seed);

  void Send(GeneratedJob job, JobOutcome outcome, Done done) override;

 private:
  http::Client& client_;
  std::vector<std::string> urls_;
  HistoryFile& history_;
  std::uint64_t seed_;
  std::size_t next_url_ = 0;
};

}  // namespace coltsfoottide::console
