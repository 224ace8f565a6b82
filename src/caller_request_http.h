// Reads the requests of one caller connection from a non-blocking socket.
#ifndef SRC_CALLER_REQUEST_HTTP_H_
#define SRC_CALLER_REQUEST_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "src/caller_exchange.h"
#include "src/routes.h"

namespace burdockhatch {

// A body whose memory grows with what has arrived. Beast's string_body takes
// the announced length at once.
struct GrowingBody {
  struct Value {
    std::string text;
    size_t max_bytes = 0;
  };

  class Reader {
   public:
    template <bool is_request, class Fields>
    Reader(boost::beast::http::header<is_request, Fields>&, Value& body)
        : body_(body) {}
    void init(const boost::optional<uint64_t>& length,
              boost::system::error_code& ec);
    template <class Buffers>
    size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      Reserve(body_.text.size() + boost::beast::buffer_bytes(buffers));
      for (const auto it : boost::beast::buffers_range_ref(buffers)) {
        body_.text.append(static_cast<const char*>(it.data()), it.size());
      }
      return boost::beast::buffer_bytes(buffers);
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    void Reserve(size_t bytes);

    Value& body_;
    size_t expected_bytes_ = 0;  // Announced, or the limit.
  };

  // Names that Beast expects.
  using value_type = Value;
  using reader = Reader;
  static uint64_t size(const Value& body) { return body.text.size(); }
};

class CallerRequestReader {
 public:
  enum class State : uint8_t {
    kNeedsInput,
    kHeaderRead,
    kComplete,
    kMalformed
  };

  // Begins the next request. Input that follows the previous one is kept.
  void Begin(const CallerLimits& limits);

  // Applies the limits of a newer configuration, as far as they are larger, to
  // a request whose header has not been read.
  void RaiseLimits(const CallerLimits& limits);

  // Moves input that has arrived from the socket to the buffer. `ec` is
  // would_block if there is none.
  size_t Receive(boost::asio::ip::tcp::socket& socket,
                 boost::system::error_code& ec);
  // The same, without keeping the input.
  static size_t Drop(boost::asio::ip::tcp::socket& socket,
                     boost::system::error_code& ec);

  // Parses buffered input up to the next state. kHeaderRead is returned once
  // for each request that is well-formed up to its body.
  State Parse();

  // After kMalformed.
  uint32_t error_status() const;
  std::string error_message() const { return error_.message(); }

  // After kHeaderRead.
  unsigned http_version() const { return parser_->get().version(); }
  bool keep_alive() const { return parser_->keep_alive(); }
  bool expects_continue() const;

  // After kComplete.
  ReceivedRequest Take();
  // The same; the request is without its body, which is moved to `body`.
  ReceivedRequest Take(std::string* body);

  // Returns whether input of a request has been received and not taken.
  bool has_input() const;
  size_t buffered_bytes() const { return buffer_.size(); }
  // Releases the request and the input.
  void Discard();

  // Memory of the request that is being read, and of input behind it.
  size_t held_bytes() const;
  // Input of the request so far.
  size_t received_bytes() const { return received_bytes_; }

 private:
  void ApplyLimits();
  // Whether the header says where the body ends (RFC 9112, section 6.3).
  bool IsBodyFramed() const;

  void MeasureFields();

  boost::beast::flat_buffer buffer_;  // Holds memory only with input.
  std::optional<boost::beast::http::request_parser<GrowingBody>> parser_;
  CallerLimits limits_;
  size_t max_unparsed_bytes_ = 0;
  size_t field_bytes_ = 0;  // Memory of the header and the trailer.
  size_t received_bytes_ = 0;
  bool is_header_reported_ = false;
  boost::system::error_code error_;
};

}  // namespace burdockhatch

#endif  // SRC_CALLER_REQUEST_HTTP_H_
