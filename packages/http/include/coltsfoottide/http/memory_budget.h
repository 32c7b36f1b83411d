#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "coltsfoottide/http/memory_holder.h"

namespace coltsfoottide::http {

// Counts the bytes that clients make a process hold, on all of its listeners, and decides
// which connections wait and which are closed when they are too many. A large body is read
// only once all of it is reserved, so that each body that has begun can be completed; the
// others wait with their bytes in the kernel. A quarter of the budget is left to everything
// else, so that small requests are served while large ones wait. Without I/O or clock; used
// on one thread.
class MemoryBudget {
 public:
  using Clock = std::chrono::steady_clock;

  // Requests up to this size never wait: the largest that documented callers usually send is
  // 10 kB, and the header comes on top.
  static constexpr std::size_t kSmallBytes = std::size_t{16} * 1024;
  // While others wait, a body that has not been completed for this long may be closed. A
  // caller with a tenth of the slowest machine's 19 Mbit/s sends 262,144 bytes in 1.1 s.
  static constexpr std::chrono::milliseconds kMinHoldTime{1200};

  explicit MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}

  // Adds a holder, which holds nothing yet. It must be removed before it is destroyed.
  void Add(MemoryHolder& holder, Clock::time_point now);
  void Remove(MemoryHolder& holder);

  // Sets the bytes that the holder holds, including those reserved for it. `in_progress`: it
  // waits for a response of this process, and is closed only if closing others is not enough.
  void Set(MemoryHolder& holder, std::size_t bytes, bool in_progress, Clock::time_point now);

  // Reserves bytes in addition to what the holder holds. Returns false if it has to wait; it is
  // told by OnMemoryReserved, in the order of the calls. Requires bytes <= max_reservation().
  bool Reserve(MemoryHolder& holder, std::size_t bytes, Clock::time_point now);

  // Most bytes that one reservation may have.
  std::size_t max_reservation() const { return limit_ / 2; }

  // Whether Advance has to be called soon: the budget is exceeded or holders wait.
  bool NeedsAdvance() const { return IsExceeded() || !waiting_.empty(); }

  // Reclaims from the holders that have held the most for the longest, as far as the budget
  // is exceeded or others wait, and grants reservations.
  void Advance(Clock::time_point now);

  // Reclaims as far as the budget is exceeded, like Advance, and grants nothing.
  void ReclaimExcess(Clock::time_point now);

  // Whether clients hold more than the limit, without those that are being closed.
  bool IsExceeded() const { return held_ - closing_ > limit_; }

  // Counts a request that was refused because of the budget.
  void CountRefused() { ++refused_; }

  std::size_t limit() const { return limit_; }
  std::size_t held() const { return held_; }
  std::size_t holders() const { return accounts_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t closed() const { return closed_; }

 private:
  struct Account {
    std::size_t bytes = 0;
    // Bytes for which it waits, or 0.
    std::size_t wanted = 0;
    bool in_progress = false;
    bool closing = false;
    // Since when it has held more than kSmallBytes, or else since it was added.
    Clock::time_point since;
  };

  bool Fits(std::size_t bytes) const;
  void GrantWaiting(Clock::time_point now);
  void Reclaim(std::size_t target, bool in_progress, Clock::duration min_age,
               Clock::time_point now);

  std::size_t limit_;
  std::size_t held_ = 0;
  // Part of held_ of holders that are being closed.
  std::size_t closing_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t closed_ = 0;
  std::unordered_map<MemoryHolder*, Account> accounts_;
  std::deque<MemoryHolder*> waiting_;
};

}  // namespace coltsfoottide::http
