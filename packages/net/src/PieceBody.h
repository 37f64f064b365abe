/// The body of a message that is read piece by piece.
#ifndef TAMARACK_NET_PIECEBODY_H
#define TAMARACK_NET_PIECEBODY_H

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <string>

namespace tamarack::internal {

/// A Beast body of which the parser holds only what was not taken from it yet.
/// Unlike string_body it reserves no memory for a length that is announced.
struct PieceBody {
  using value_type = std::string;

  // The names and signatures are Beast's BodyReader.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> & /*Head*/,
           std::string &Body)
        : Body(Body) {}
    void init(const boost::optional<std::uint64_t> & /*Length*/,
              boost::beast::error_code &Failure) {
      Failure = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Parts, boost::beast::error_code &Failure) {
      Failure = {};
      const std::size_t SizeBefore = Body.size();
      for (const auto &Part : boost::beast::buffers_range_ref(Parts))
        Body.append(static_cast<const char *>(Part.data()), Part.size());
      return Body.size() - SizeBefore;
    }
    void finish(boost::beast::error_code &Failure) { Failure = {}; }

  private:
    std::string &Body;
  };
};

} // namespace tamarack::internal

#endif // TAMARACK_NET_PIECEBODY_H
