#include "scheduler/link_selection.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace egretrack::scheduler {

std::vector<bool> SelectLinks(std::span<const link_candidate> candidates,
                              std::size_t max_links) {
  std::vector<std::size_t> ranked(candidates.size());
  std::iota(ranked.begin(), ranked.end(), std::size_t{0});
  std::ranges::sort(ranked, std::greater<>(), [&](std::size_t index) {
    return candidates[index].weight;
  });
  std::vector<bool> selected(candidates.size(), false);
  std::size_t responsive = 0;
  for (const std::size_t index : ranked) {
    if (responsive == max_links)
      break;
    selected[index] = true;
    responsive += candidates[index].responsive ? 1 : 0;
  }
  return selected;
}

}  // namespace egretrack::scheduler
