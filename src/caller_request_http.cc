#include "src/caller_request_http.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace burdockhatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t kReadBufferBytes = 64 * 1024;
// Of the request line, which the limit on headers does not include.
constexpr uint32_t kMaxRequestLineBytes = 1024;
// First size of a body; most are smaller.
constexpr size_t kInitialBodyBytes = 16 * 1024;
// Memory of a header field beside its text: a node of the parser, and an
// element of a HeaderList with its spare room.
constexpr size_t kFieldOverheadBytes = 256;

// One buffer for each thread, because one for each connection would take
// 192 MB with 3,000 of them.
asio::mutable_buffer ReadBuffer() {
  thread_local std::array<char, kReadBufferBytes> bytes;
  return asio::buffer(bytes);
}

}  // namespace

void GrowingBody::Reader::init(const boost::optional<uint64_t>& length,
                               error_code& ec) {
  ec = {};
  // The parser has checked an announced length against the limit.
  expected_bytes_ = length ? static_cast<size_t>(*length) : body_.max_bytes;
}

void GrowingBody::Reader::Reserve(size_t bytes) {
  const size_t capacity = body_.text.capacity();
  if (bytes <= capacity) {
    return;
  }
  const size_t wanted = std::max(
      bytes,
      std::min(std::max(2 * capacity, kInitialBodyBytes), expected_bytes_));
  // reserve() of a string that has memory would at least double it, also beyond
  // the expected length.
  std::string larger;
  larger.reserve(wanted);
  larger.append(body_.text);
  body_.text = std::move(larger);
}

void CallerRequestReader::Begin(const CallerLimits& limits) {
  parser_.emplace();
  field_bytes_ = 0;
  received_bytes_ = buffer_.size();
  limits_ = limits;
  ApplyLimits();
  is_header_reported_ = false;
}

void CallerRequestReader::RaiseLimits(const CallerLimits& limits) {
  if (parser_ && !parser_->is_header_done()) {
    limits_.max_header = std::max(limits_.max_header, limits.max_header);
    limits_.max_body = std::max(limits_.max_body, limits.max_body);
    ApplyLimits();
  }
}

void CallerRequestReader::ApplyLimits() {
  parser_->header_limit(static_cast<uint32_t>(limits_.max_header.value()) +
                        kMaxRequestLineBytes);
  parser_->body_limit(static_cast<uint64_t>(limits_.max_body.value()));
  parser_->get().body().max_bytes =
      static_cast<size_t>(limits_.max_body.value());
  max_unparsed_bytes_ = static_cast<size_t>(limits_.max_header.value()) +
                        kMaxRequestLineBytes + kReadBufferBytes;
}

size_t CallerRequestReader::Receive(boost::asio::ip::tcp::socket& socket,
                                    error_code& ec) {
  const asio::mutable_buffer input = ReadBuffer();
  const size_t n = socket.receive(input, 0, ec);
  if (n > 0) {
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), input, n));
    received_bytes_ += n;
  }
  return n;
}

size_t CallerRequestReader::Drop(asio::ip::tcp::socket& socket,
                                 error_code& ec) {
  return socket.receive(ReadBuffer(), 0, ec);
}

CallerRequestReader::State CallerRequestReader::Parse() {
  while (!parser_->is_done()) {
    if (parser_->is_header_done() && !is_header_reported_) {
      break;
    }
    if (buffer_.size() == 0) {
      buffer_.shrink_to_fit();
      return State::kNeedsInput;
    }
    error_code ec;
    const size_t n = parser_->put(buffer_.data(), ec);
    buffer_.consume(n);
    if (ec == http::error::need_more) {
      // The parser does not limit the header of a chunk.
      if (buffer_.size() < max_unparsed_bytes_) {
        buffer_.shrink_to_fit();
        return State::kNeedsInput;
      }
      ec = http::error::header_limit;
    }
    if (ec) {
      error_ = ec;
      return State::kMalformed;
    }
  }
  if (!is_header_reported_) {
    if (!IsBodyFramed()) {
      error_ = http::error::bad_transfer_encoding;
      return State::kMalformed;
    }
    is_header_reported_ = true;
    MeasureFields();
    return State::kHeaderRead;
  }
  MeasureFields();  // A trailer adds fields.
  buffer_.shrink_to_fit();
  return State::kComplete;
}

// The parser takes a request with any other coding as one without a body, and
// the body for the next request.
bool CallerRequestReader::IsBodyFramed() const {
  size_t codings = 0;
  bool is_chunked = false;
  for (const auto& it : parser_->get()) {
    if (it.name() == http::field::transfer_encoding) {
      ++codings;
      is_chunked = beast::iequals(it.value(), "chunked");
    }
  }
  return codings == 0 ||
         (codings == 1 && is_chunked && parser_->get().version() >= 11);
}

uint32_t CallerRequestReader::error_status() const {
  if (error_ == http::error::header_limit) {
    return 431;
  }
  return error_ == http::error::body_limit ? 413 : 400;
}

bool CallerRequestReader::expects_continue() const {
  return beast::iequals(parser_->get()[http::field::expect], "100-continue");
}

void CallerRequestReader::MeasureFields() {
  field_bytes_ = 0;
  for (const auto& it : parser_->get()) {
    field_bytes_ +=
        kFieldOverheadBytes + 2 * (it.name_string().size() + it.value().size());
  }
}

size_t CallerRequestReader::held_bytes() const {
  return buffer_.capacity() + field_bytes_ +
         (parser_ ? parser_->get().body().text.capacity() : 0);
}

void CallerRequestReader::Discard() {
  parser_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
  field_bytes_ = 0;
}

ReceivedRequest CallerRequestReader::Take() {
  auto body = std::make_shared<std::string>();
  ReceivedRequest request = Take(body.get());
  request.body = std::move(body);
  return request;
}

ReceivedRequest CallerRequestReader::Take(std::string* body) {
  // The parser keeps the message until nothing can throw, so that a request
  // that cannot be taken can be refused.
  http::request<GrowingBody>& message = parser_->get();
  ReceivedRequest request;
  request.method = std::string(message.method_string());
  request.path = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  for (const auto& it : message) {
    request.headers.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  *body = std::move(message.body().text);
  parser_.reset();
  field_bytes_ = 0;
  return request;
}

bool CallerRequestReader::has_input() const {
  return buffer_.size() > 0 || (parser_ && parser_->got_some());
}

}  // namespace burdockhatch
