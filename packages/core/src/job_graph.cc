#include "job_graph.h"

#include <algorithm>

namespace coltsfoottide::core {

JobGraph::JobGraph(const api::JobSpec& job, const RunTime& run_time)
    : nodes_(static_cast<std::size_t>(job.tasks_size())), unfinished_(nodes_.size()) {
  for (std::uint32_t index = 0; index < nodes_.size(); ++index) {
    for (const auto dependency : job.tasks(static_cast<int>(index)).depends_on()) {
      nodes_[dependency].dependents.push_back(index);
      ++nodes_[index].pending_dependencies;
    }
  }
  ComputeRemaining(job, run_time);
}

// Sorts the tasks topologically, then adds up the run times from the last task
// to the first.
void JobGraph::ComputeRemaining(const api::JobSpec& job, const RunTime& run_time) {
  std::vector<std::uint32_t> order = Roots();
  std::vector<std::uint32_t> pending_dependencies(nodes_.size());
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    pending_dependencies[index] = nodes_[index].pending_dependencies;
  }
  for (std::size_t at = 0; at < order.size(); ++at) {
    for (const auto dependent : nodes_[order[at]].dependents) {
      if (--pending_dependencies[dependent] == 0) {
        order.push_back(dependent);
      }
    }
  }
  for (auto it = order.rbegin(); it != order.rend(); ++it) {
    Duration longest{};
    for (const auto dependent : nodes_[*it].dependents) {
      longest = std::max(longest, nodes_[dependent].remaining);
    }
    nodes_[*it].remaining = longest + run_time(job.tasks(static_cast<int>(*it)));
  }
}

std::vector<std::uint32_t> JobGraph::Roots() const {
  std::vector<std::uint32_t> roots;
  for (std::uint32_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].pending_dependencies == 0 && !nodes_[index].finished) {
      roots.push_back(index);
    }
  }
  SortLongestFirst(roots);
  return roots;
}

std::vector<std::uint32_t> JobGraph::Finish(std::uint32_t index) {
  std::vector<std::uint32_t> ready;
  Node& node = nodes_[index];
  if (node.finished) {
    return ready;
  }
  node.finished = true;
  --unfinished_;
  for (const auto dependent : node.dependents) {
    if (--nodes_[dependent].pending_dependencies == 0) {
      ready.push_back(dependent);
    }
  }
  SortLongestFirst(ready);
  return ready;
}

Duration JobGraph::CriticalPath() const {
  Duration longest{};
  for (const Node& node : nodes_) {
    longest = std::max(longest, node.remaining);
  }
  return longest;
}

void JobGraph::SortLongestFirst(std::vector<std::uint32_t>& tasks) const {
  std::stable_sort(tasks.begin(), tasks.end(), [this](std::uint32_t a, std::uint32_t b) {
    return nodes_[a].remaining > nodes_[b].remaining;
  });
}

}  // namespace coltsfoottide::core
