/// The entry point of every package's test program.
#define BOOST_TEST_MODULE tamarack
#include <boost/test/unit_test.hpp>
