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
struct Breach : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void Require(bool holds, const std::string& sentence) {
  if (!holds) throw Breach(sentence);
}

// A word's parts: the first Take chooses the step, later ones its details.
class Word {
 public:
  explicit Word(std::uint32_t bits) : bits_(bits * 2654435761U) {}
  std::uint32_t Take(std::uint32_t choices) {
    const std::uint32_t taken = (bits_ >> 8U) % choices;
    bits_ = bits_ * 1664525U + 1013904223U;
    return taken;
  }

 private:
  std::uint32_t bits_;
};

// Runs `World` over random words; returns whether every run held.
template <class World>
bool RunAtRandom(const char* name) {
  constexpr int kWords = 400;
  const InvariantHandler old =
      SetInvariantHandler([](std::string_view sentence) { throw Breach(std::string(sentence)); });
  std::uint64_t steps = 0;
  const bool held = rc::check(name, [&steps] {
    const auto words = *rc::gen::resize(kWords, rc::gen::arbitrary<std::vector<std::uint32_t>>());
    World world(words.empty() ? 0 : words.front());
    for (const auto it : words) {
      world.Step(Word(it));
      ++steps;
    }
    world.Drain();
  });
  SetInvariantHandler(old);
  std::printf("%s: %llu random steps\n", name, static_cast<unsigned long long>(steps));
  return held;
}

}  // namespace junctionrail::test

#endif  // JUNCTIONRAIL_TEST_SUPPORT_RANDOM_RUN_H_
