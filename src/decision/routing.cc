#include "decision/routing.h"

#include <algorithm>
#include <random>
#include <utility>

namespace egretrack::decision {
namespace {

// Sends only to agents with credits, and to the fastest of them: each credit
// stands for a free slot, so only the run time determines when the task ends.
class credit_routing final : public routing_strategy {
 public:
  bool MaySend(const entry_agent& agent) const override {
    return agent.credits.available() > 0;
  }
  entry_agent* Choose(std::span<entry_agent* const> candidates) override {
    return *std::min_element(candidates.begin(), candidates.end(),
                             [](const entry_agent* a, const entry_agent* b) {
                               return Cost(*a) < Cost(*b);
                             });
  }
  bool uses_credits() const override { return true; }

 private:
  static std::pair<double, double> Cost(const entry_agent& agent) {
    return {agent.health.slowdown(), agent.load()};
  }
};

class round_robin final : public routing_strategy {
 public:
  bool MaySend(const entry_agent& /*agent*/) const override { return true; }
  entry_agent* Choose(std::span<entry_agent* const> candidates) override {
    return candidates[next_++ % candidates.size()];
  }
  bool uses_credits() const override { return false; }

 private:
  std::size_t next_ = 0;
};

class least_outstanding_of_two final : public routing_strategy {
 public:
  explicit least_outstanding_of_two(std::uint64_t seed) : random_(seed) {}

  bool MaySend(const entry_agent& /*agent*/) const override { return true; }
  entry_agent* Choose(std::span<entry_agent* const> candidates) override {
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    entry_agent* first = candidates[index(random_)];
    entry_agent* second = candidates[index(random_)];
    return second->load() < first->load() ? second : first;
  }
  bool uses_credits() const override { return false; }

 private:
  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<routing_strategy> MakeRouting(routing_policy policy,
                                              std::uint64_t seed) {
  switch (policy) {
    case routing_policy::kRoundRobin:
      return std::make_unique<round_robin>();
    case routing_policy::kLeastOutstanding:
      return std::make_unique<least_outstanding_of_two>(seed);
    case routing_policy::kCredits:
      break;
  }
  return std::make_unique<credit_routing>();
}

}  // namespace egretrack::decision
