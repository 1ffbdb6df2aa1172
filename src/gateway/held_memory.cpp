#include "held_memory.h"

#include <algorithm>
#include <utility>

namespace hawthornnotch::gateway::internal {

held_memory::share::share(held_memory& all, std::function<void()> give_way)
    : all_(all), give_way_(std::move(give_way)) {}

void held_memory::share::set(std::size_t bytes) {
  if (bytes == 0) {
    gives_way_ = false;
  }
  if (!gives_way_ && bytes != bytes_) {
    all_.change(*this, bytes);
    all_.free_some();
  }
}

void held_memory::change(share& holder, std::size_t bytes) {
  const auto [first, last] = holders_.equal_range(holder.bytes_);
  const auto found =
      std::find_if(first, last, [&](const auto& each) { return each.second == &holder; });
  if (found != last) {
    holders_.erase(found);
  }
  bytes_ = bytes_ - holder.bytes_ + bytes;
  holder.bytes_ = bytes;
  if (bytes > 0) {
    holders_.emplace(bytes, &holder);
  }
}

void held_memory::free_some() {
  while (bytes_ > max_bytes_) {
    share& largest = *holders_.rbegin()->second;
    change(largest, 0);
    largest.gives_way_ = true;
    largest.give_way_();
  }
}

}  // namespace hawthornnotch::gateway::internal
