#pragma once

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <utility>

namespace coltsfoottide::daemon {

// A value that one thread replaces and many read without locks. A replaced
// value is freed once no reader holds it.
//
//   RcuCell<View> cell(std::make_unique<View>());
//   bool ready = cell.Read([](const View& view) { return view.ready; });
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::unique_ptr<T> value) : node_(new Node{{}, std::move(value)}) {}
  ~RcuCell() {
    urcu_bp_barrier();
    delete node_.load();
  }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Calls the function with the current value, which is valid only during the
  // call.
  template <typename F>
  auto Read(F&& function) const {
    const ReadGuard guard;
    const T& value = *node_.load(std::memory_order_acquire)->value;
    return std::forward<F>(function)(value);
  }

  // Replaces the value. Does not wait for readers of the old one.
  void Publish(std::unique_ptr<T> value) {
    Node* old = node_.exchange(new Node{{}, std::move(value)}, std::memory_order_acq_rel);
    urcu_bp_call_rcu(&old->head, [](rcu_head* head) { delete reinterpret_cast<Node*>(head); });
  }

 private:
  // The head is the first member, so that its address is that of the node.
  struct Node {
    rcu_head head;
    std::unique_ptr<T> value;
  };
  struct ReadGuard {
    ReadGuard() { urcu_bp_read_lock(); }
    ~ReadGuard() { urcu_bp_read_unlock(); }
    ReadGuard(const ReadGuard&) = delete;
    ReadGuard& operator=(const ReadGuard&) = delete;
  };

  std::atomic<Node*> node_;
};

}  // namespace coltsfoottide::daemon
