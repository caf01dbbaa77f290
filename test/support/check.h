// Includes the CppUTest harness without the macros of its leak detection, so that
// standard headers may be included after it.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_CHECK_H_
#define JUNCTIONRAIL_TEST_SUPPORT_CHECK_H_

#include <string>

#define CPPUTEST_MEM_LEAK_DETECTION_DISABLED
#include <CppUTest/TestHarness.h>

// Compares two strings. The failure message has both values and `hint`.
#define EXPECT_TEXT(expected, got, hint)                                                         \
  do {                                                                                           \
    const std::string expected_text(expected);                                                   \
    const std::string got_text(got);                                                             \
    if (expected_text != got_text) {                                                             \
      FAIL(("expected \"" + expected_text + "\", got \"" + got_text + "\"; " + (hint)).c_str()); \
    }                                                                                            \
    CHECK(expected_text == got_text);                                                            \
  } while (false)

#define EXPECT_NUMBER(expected, got, hint)                      \
  EXPECT_TEXT(std::to_string(static_cast<long long>(expected)), \
              std::to_string(static_cast<long long>(got)), hint)

#define EXPECT_TRUE(condition, hint) \
  CHECK_TEXT(condition, (std::string("expected " #condition "; ") + (hint)).c_str())

#endif  // JUNCTIONRAIL_TEST_SUPPORT_CHECK_H_
