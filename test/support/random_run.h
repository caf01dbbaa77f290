// Randomised runs: RapidCheck makes a list of words, a world turns each word
// into one step, and a broken invariant or a judge's complaint fails the run
// and is shrunk. The seed and number of runs come from RC_PARAMS.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_RANDOM_RUN_H_
#define JUNCTIONRAIL_TEST_SUPPORT_RANDOM_RUN_H_

#include <rapidcheck.h>

#include <cstdint>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail::test {

// What a world throws when the code under test breaks a promise.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void Require(bool holds, const std::string& sentence) {
  if (!holds) throw InvariantViolation(sentence);
}

// A word's parts: the first Take chooses the step, later ones its details.
class RandomChoices {
 public:
  explicit RandomChoices(std::uint32_t bits) : bits_(bits * 2654435761U) {}
  std::uint32_t Next(std::uint32_t bound) {
    const std::uint32_t value = (bits_ >> 8U) % bound;
    bits_ = bits_ * 1664525U + 1013904223U;
    return value;
  }

 private:
  std::uint32_t bits_;
};

// Runs `World` over random words; returns whether every run held.
template <class Simulation>
bool RunRandomTest(const char* name) {
  constexpr int kMaxSteps = 400;
  const InvariantHandler old = SetInvariantHandler(
      [](std::string_view sentence) { throw InvariantViolation(std::string(sentence)); });
  std::uint64_t steps = 0;
  const bool passed = rc::check(name, [&steps] {
    const auto step_seeds =
        *rc::gen::resize(kMaxSteps, rc::gen::arbitrary<std::vector<std::uint32_t>>());
    Simulation simulation(step_seeds.empty() ? 0 : step_seeds.front());
    for (const auto it : step_seeds) {
      simulation.Step(RandomChoices(it));
      ++steps;
    }
    simulation.Drain();
  });
  SetInvariantHandler(old);
  std::printf("%s: %llu random steps\n", name, static_cast<unsigned long long>(steps));
  return passed;
}

}  // namespace junctionrail::test

#endif  // JUNCTIONRAIL_TEST_SUPPORT_RANDOM_RUN_H_
