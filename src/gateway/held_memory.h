// Bounds what all open requests hold of their servers' answers together.
#ifndef HAWTHORNNOTCH_SRC_GATEWAY_HELD_MEMORY_H_
#define HAWTHORNNOTCH_SRC_GATEWAY_HELD_MEMORY_H_

#include <cstddef>
#include <functional>
#include <map>

namespace hawthornnotch::gateway::internal {

// Sums the bytes that requests hold. Above the limit the one that holds most gives way, and again
// until the sum is within the limit: a faulty answer grows until it is the largest, while sound
// ones hold little.
//
// Example:
//     held_memory::share held(shared.held, [this] { give_way(); });
//     held.set(buffer.size());
// Ownership: outlives its shares.  Thread safety: none.
class held_memory {
 public:
  explicit held_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // What one request holds.
  class share {
   public:
    // \param give_way ends what holds the memory; called at most once between two calls of
    // `set(0)`, and its bytes no longer count.
    share(held_memory& all, std::function<void()> give_way);
    ~share() { set(0); }
    share(const share&) = delete;
    share& operator=(const share&) = delete;
    void set(std::size_t bytes);

   private:
    friend class held_memory;
    held_memory& all_;
    std::function<void()> give_way_;
    std::size_t bytes_ = 0;
    bool gives_way_ = false;
  };

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  // \returns whether little room is left, so that answers are better passed on than collected.
  [[nodiscard]] bool is_scarce() const { return bytes_ > max_bytes_ / 2; }

 private:
  void change(share& holder, std::size_t bytes);
  void free_some();

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  // By what they hold, the largest last.
  std::multimap<std::size_t, share*> holders_;
};

}  // namespace hawthornnotch::gateway::internal

#endif  // HAWTHORNNOTCH_SRC_GATEWAY_HELD_MEMORY_H_
