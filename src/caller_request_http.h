// Reads the requests of one caller connection from a non-blocking socket.
#ifndef SRC_CALLER_REQUEST_HTTP_H_
#define SRC_CALLER_REQUEST_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/caller_exchange.h"
#include "src/routes.h"

namespace burdockhatch {

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

  // Returns whether input of a request has been received and not taken.
  bool has_input() const;
  size_t buffered_bytes() const { return buffer_.size(); }
  void DiscardInput() { buffer_.clear(); }

 private:
  void ApplyLimits();

  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  CallerLimits limits_;
  size_t max_unparsed_bytes_ = 0;
  bool is_header_reported_ = false;
  boost::system::error_code error_;
};

}  // namespace burdockhatch

#endif  // SRC_CALLER_REQUEST_HTTP_H_
