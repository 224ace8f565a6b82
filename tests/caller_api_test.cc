#include "src/caller_api.h"

#include <gtest/gtest.h>
#include <boost/json/parse.hpp>

namespace burdockhatch {
namespace {

FleetConfig SampleConfig() {
  FleetConfig config;
  config.models[ModelId("m")].max_output = Tokens(100);
  config.services[ServiceId("orders")].repeatable_methods = {"GET", "PUT"};
  config.accounts[ClientAccountId("acme")];
  TemplateConfig& sample = config.templates[TemplateId("review")];
  sample.account = ClientAccountId("acme");
  sample.model = ModelId("m");
  sample.max_output = Tokens(70);
  sample.deadline = std::chrono::milliseconds(9'000);
  sample.prompt_prefix = "Review: ";
  return config;
}

CallerHttpRequest PostRequest(const std::string& target,
                              const std::string& body) {
  CallerHttpRequest input;
  input.method = "POST";
  input.target = target;
  input.body = body;
  input.client_account = "acme";
  return input;
}

std::variant<CallerRequest, CallerRequestError> Parse(
    const CallerHttpRequest& input) {
  const FleetConfig config = SampleConfig();
  return ParseCallerRequest(input, &config, LimitSettings());
}

CallerRequest ParseAccepted(const CallerHttpRequest& input) {
  std::variant<CallerRequest, CallerRequestError> parsed = Parse(input);
  if (const auto* error = std::get_if<CallerRequestError>(&parsed)) {
    ADD_FAILURE() << error->message;
    return {};
  }
  return std::get<CallerRequest>(std::move(parsed));
}

ErrorCode ParseErrorCode(const CallerHttpRequest& input) {
  const std::variant<CallerRequest, CallerRequestError> parsed = Parse(input);
  const auto* error = std::get_if<CallerRequestError>(&parsed);
  return error != nullptr ? error->code : ErrorCode::kNone;
}

TEST(CallerApiTest, ParsesACompletion) {
  CallerHttpRequest input = PostRequest(
      "/v1/completions",
      R"({"model":"m","prompt":"12345","max_tokens":7,"stream":true})");
  input.deadline_ms = "1500";
  const CallerRequest request = ParseAccepted(input);
  EXPECT_EQ(request.payload, "12345");
  EXPECT_EQ(request.spec.prompt_tokens, Tokens(2));
  EXPECT_EQ(request.spec.max_output_tokens, Tokens(7));
  EXPECT_EQ(request.spec.account.value(), "acme");
  EXPECT_EQ(request.timeout, std::chrono::milliseconds(1'500));
  EXPECT_TRUE(request.stream);
  EXPECT_TRUE(request.spec.repeatable);
}

TEST(CallerApiTest, AppliesATemplate) {
  const CallerRequest request = ParseAccepted(
      PostRequest("/v1/completions", R"({"template":"review","prompt":"x"})"));
  EXPECT_EQ(request.payload, "Review: x");
  EXPECT_EQ(request.spec.model.value(), "m");
  EXPECT_EQ(request.spec.max_output_tokens, Tokens(70));
  EXPECT_EQ(request.timeout, std::chrono::milliseconds(9'000));
}

// Guards against a template whose deadline exceeds the maximum of the entry.
TEST(CallerApiTest, TemplateDeadlineIsLimited) {
  const FleetConfig config = SampleConfig();
  LimitSettings limits;
  limits.max_deadline = std::chrono::milliseconds(1'000);
  const auto parsed = ParseCallerRequest(
      PostRequest("/v1/completions", R"({"template":"review","prompt":"x"})"),
      &config, limits);
  const auto* request = std::get_if<CallerRequest>(&parsed);
  ASSERT_NE(request, nullptr);
  EXPECT_EQ(request->timeout, limits.max_deadline);
}

// Guards against accepting a method so long that every agent drops the offer.
TEST(CallerApiTest, RejectsEmptyAndOverlongMethods) {
  CallerHttpRequest input = PostRequest("/services/orders/x", "");
  input.method = std::string(64, 'M');
  EXPECT_EQ(ParseErrorCode(input), ErrorCode::kNone);
  input.method = std::string(65, 'M');
  EXPECT_EQ(ParseErrorCode(input), ErrorCode::kInvalidRequest);
  input.method.clear();
  EXPECT_EQ(ParseErrorCode(input), ErrorCode::kInvalidRequest);
}

// Guards against the use of another account's template.
TEST(CallerApiTest, RejectsATemplateOfAnotherAccount) {
  CallerHttpRequest input =
      PostRequest("/v1/completions", R"({"template":"review","prompt":"x"})");
  input.client_account = "other";
  EXPECT_EQ(ParseErrorCode(input), ErrorCode::kInvalidRequest);
}

TEST(CallerApiTest, ReadsTheAccountFromABearerToken) {
  CallerHttpRequest input =
      PostRequest("/v1/completions", R"({"model":"m","prompt":"x"})");
  input.client_account.clear();
  EXPECT_EQ(ParseErrorCode(input), ErrorCode::kUnknownClientAccount);
  input.authorization = "Bearer acme";
  EXPECT_EQ(ParseAccepted(input).spec.account.value(), "acme");
}

TEST(CallerApiTest, JoinsChatMessages) {
  const CallerRequest request = ParseAccepted(
      PostRequest("/v1/chat/completions",
                  R"({"model":"m","messages":[{"role":"system","content":"a"},
          {"role":"user","content":"b"}]})"));
  EXPECT_EQ(request.payload, "system: a\nuser: b\n");
  EXPECT_EQ(request.format, ResponseFormat::kChat);
}

TEST(CallerApiTest, ParsesAServiceCall) {
  CallerHttpRequest input =
      PostRequest("/services/orders/holds/7?x=1", "chalk");
  input.idempotency_key = "k1";
  const CallerRequest request = ParseAccepted(input);
  EXPECT_EQ(request.spec.service.value(), "orders");
  EXPECT_EQ(request.spec.path, "/holds/7?x=1");
  EXPECT_EQ(request.spec.method, "POST");
  EXPECT_FALSE(request.spec.repeatable);
  EXPECT_EQ(request.spec.key, IdempotencyKey("k1"));
  EXPECT_EQ(request.payload, "chalk");
}

// Guards against retrying a call that the configuration does not declare
// repeatable, and against not retrying one that it does.
TEST(CallerApiTest, RepeatableMethodsComeFromTheConfiguration) {
  CallerHttpRequest input = PostRequest("/services/orders/x", "");
  EXPECT_FALSE(ParseAccepted(input).spec.repeatable);
  input.method = "PUT";
  EXPECT_TRUE(ParseAccepted(input).spec.repeatable);
  input.method = "HEAD";
  EXPECT_FALSE(ParseAccepted(input).spec.repeatable);
}

TEST(CallerApiTest, RejectsInvalidInput) {
  for (const char* body :
       {"", "[]", "{", R"({"model":"m"})", R"({"model":"m","prompt":""})",
        R"({"model":"m","prompt":7})", R"({"model":7,"prompt":"x"})",
        R"({"prompt":"x"})", R"({"model":"m","prompt":"x","max_tokens":0})",
        R"({"model":"m","prompt":"x","max_tokens":101})",
        R"({"model":"m","prompt":"x","max_tokens":1.5})",
        R"({"model":"m","prompt":"x","stream":1})"}) {
    EXPECT_EQ(ParseErrorCode(PostRequest("/v1/completions", body)),
              ErrorCode::kInvalidRequest)
        << body;
  }
  for (const char* deadline : {"0", "-1", "x", "1x", "99999999999999999999"}) {
    CallerHttpRequest input =
        PostRequest("/v1/completions", R"({"model":"m","prompt":"x"})");
    input.deadline_ms = deadline;
    EXPECT_EQ(ParseErrorCode(input), ErrorCode::kInvalidRequest) << deadline;
  }
  EXPECT_EQ(ParseErrorCode(PostRequest("/services//x", "")),
            ErrorCode::kUnknownService);
  EXPECT_EQ(ParseErrorCode(PostRequest("/services/", "")),
            ErrorCode::kUnknownService);
  EXPECT_EQ(ParseErrorCode(PostRequest("/other", "")), ErrorCode::kNotFound);
  CallerHttpRequest key = PostRequest("/services/orders/x", "");
  key.idempotency_key = "";
  EXPECT_EQ(ParseErrorCode(key), ErrorCode::kInvalidRequest);
  key.idempotency_key = std::string(256, 'k');
  EXPECT_EQ(ParseErrorCode(key), ErrorCode::kInvalidRequest);
}

// Guards against equal hashes for prompts with different prefixes.
TEST(CallerApiTest, PrefixHashesAreChained) {
  const std::string a(kPrefixBlockBytes, 'a');
  const std::string b(kPrefixBlockBytes, 'b');
  EXPECT_TRUE(PrefixHashes(a.substr(1)).empty());
  const std::vector<uint64_t> ab = PrefixHashes(a + b + "tail");
  const std::vector<uint64_t> bb = PrefixHashes(b + b);
  const std::vector<uint64_t> aa = PrefixHashes(a + a);
  ASSERT_EQ(ab.size(), 2u);
  EXPECT_EQ(ab[0], aa[0]);
  EXPECT_NE(ab[1], aa[1]);
  EXPECT_NE(ab[1], bb[1]);
}

TEST(CallerApiTest, ErrorBodyHasAllFields) {
  const std::string body = ErrorResponseBody(
      {ErrorCode::kOverloaded, Outcome::kNotRun, Duration(1'500)},
      "a \"quoted\" text");
  const boost::json::value error = boost::json::parse(body).at("error");
  EXPECT_EQ(error.at("code"), "overloaded");
  EXPECT_EQ(error.at("message"), "a \"quoted\" text");
  EXPECT_EQ(error.at("outcome"), "not_run");
  EXPECT_EQ(error.at("retry_after_ms"), 2);
}

// Guards against line breaks in the text that break the event framing.
TEST(CallerApiTest, EachStreamEventIsOneLine) {
  const std::string event = CompletionChunkEvent(
      {{1, 2}, ModelId("m"), ResponseFormat::kChat, 3}, "a\n\nb");
  EXPECT_EQ(event.find('\n'), event.size() - 2);
  EXPECT_TRUE(event.starts_with("data: {"));
  const std::string ending =
      FinalStreamEvents({{1, 2}, ModelId("m"), ResponseFormat::kCompletion, 3});
  EXPECT_TRUE(ending.ends_with("\n\ndata: [DONE]\n\n"));
}

}  // namespace
}  // namespace burdockhatch
