/// A stand-in for a disk that is full, which fails the writes of root too.
#ifndef TAMARACK_TURNS_TEST_FULLDISK_H
#define TAMARACK_TURNS_TEST_FULLDISK_H

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sys/resource.h>

namespace tamarack::testing {

/// While it exists, no file of this process grows beyond \p MaxBytes.
class FullDisk {
public:
  explicit FullDisk(rlim_t MaxBytes)
      : HandlerBefore(std::signal(SIGXFSZ, SIG_IGN)) {
    BOOST_REQUIRE(::getrlimit(RLIMIT_FSIZE, &Before) == 0);
    const rlimit Lowered{MaxBytes, Before.rlim_max};
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &Lowered) == 0);
  }
  ~FullDisk() {
    ::setrlimit(RLIMIT_FSIZE, &Before);
    std::signal(SIGXFSZ, HandlerBefore);
  }
  FullDisk(const FullDisk &) = delete;
  FullDisk &operator=(const FullDisk &) = delete;

private:
  void (*HandlerBefore)(int);
  rlimit Before{};
};

} // namespace tamarack::testing

#endif // TAMARACK_TURNS_TEST_FULLDISK_H
