// Tests of an entry core with real agent cores and simulated engines, without
// faults. They guard against cores that interpret the same message differently.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "src/agent_core.h"
#include "src/agent_tables.h"
#include "src/entry_core.h"
#include "src/entry_tables.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr uint32_t kChunks = 3;

struct FakeStream {
  AttemptId attempt;
  Tokens memory;
  uint32_t emitted_chunks = 0;
};

// An agent core and its simulated engine, which emits one chunk per stream and
// step.
struct EngineNode {
  std::unique_ptr<AgentCore> agent;
  InstanceInfo info;
  std::map<StreamId, FakeStream> streams;
  std::map<StreamId, Tokens> caches;
};

class EntryAgentTest : public testing::Test {
 protected:
  EntryAgentTest() : entry_(EntrySettings()) {
    config_.version = ConfigVersion(1);
    config_.models[ModelId("model")] = {};
    config_.accounts[ClientAccountId("account")] = {
        TokensPerSecond(100'000'000), Tokens(100'000'000), true};
    for (int i = 0; i < 6; ++i) {
      AddEngine("engine-" + std::to_string(i));
    }
    const auto config = std::make_shared<FleetConfig>(config_);
    std::vector<InstanceInfo> list;
    for (EngineNode& it : nodes_) {
      it.agent->OnConfig(config, now_);
      list.push_back(it.info);
    }
    entry_.OnConfig(config, now_);
    entry_.OnInstances(list, now_);
    Run(seconds(3));
  }

  static EntryOptions EntrySettings() {
    EntryOptions options;
    options.self = {InstanceId("entry"), Incarnation(4)};
    options.data_centre = DataCentreId("dc");
    options.region = RegionId("region");
    return options;
  }

  void AddEngine(const std::string& name) {
    EngineNode node;
    node.info.instance = InstanceId(name);
    node.info.role = Role::kAgent;
    node.info.region = RegionId("region");
    node.info.data_centre = DataCentreId("dc");
    node.info.address = "127.0.0.1:1";
    node.info.target = TargetId(name);
    node.info.model = ModelId("model");
    AgentOptions options;
    options.self = {node.info.instance, Incarnation(9)};
    options.target = node.info.target;
    options.data_centre = node.info.data_centre;
    options.model = node.info.model;
    options.memory = Tokens(450'000);
    options.full_budget = Tokens(400'000);
    options.prefill_rate = TokensPerSecond(1'000'000);
    options.time_per_token = milliseconds(1);
    node.agent = std::make_unique<AgentCore>(options);
    nodes_.push_back(std::move(node));
  }

  RequestId Submit(int64_t tokens) {
    RequestSpec spec;
    spec.request = {5, ++requests_};
    spec.account = ClientAccountId("account");
    spec.model = ModelId("model");
    spec.prompt_tokens = Tokens(tokens);
    spec.max_output_tokens = Tokens(100);
    spec.deadline = now_ + seconds(30);
    entry_.OnRequest(spec, now_);
    return spec.request;
  }

  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ += kStep;
      entry_.Tick(now_);
      DeliverFromEntry();
      for (EngineNode& it : nodes_) {
        RunEngineStep(it);
      }
      DeliverFromEntry();
    }
  }

  void RunEngineStep(EngineNode& node) {
    const EngineLoad load{EngineIncarnation(1),
                          std::chrono::hours(5),
                          Tokens(450'000),
                          Tokens(0),
                          Tokens(900'000'000),
                          0,
                          0,
                          {ModelId("model")}};
    node.agent->OnEngineLoad(&load, now_);
    node.agent->Tick(now_, UnixSeconds(1'700'000'000));
    TakeAgentActions(node);
    EmitChunks(node);
    TakeAgentActions(node);
  }

  void EmitChunks(EngineNode& node) {
    std::vector<StreamId> ended;
    for (auto& [stream, it] : node.streams) {
      if (it.emitted_chunks < kChunks) {
        entry_.OnProgress(it.attempt, ++it.emitted_chunks, now_);
        node.agent->OnStreamProgress(stream, it.emitted_chunks,
                                     Tokens(it.emitted_chunks), now_);
      } else {
        ended.push_back(stream);
      }
    }
    for (const StreamId& it : ended) {
      node.streams.erase(it);
      node.agent->OnStreamEnded(it, StreamEnd::kComplete, kChunks, now_);
    }
  }

  void TakeAgentActions(EngineNode& node) {
    for (auto actions = node.agent->TakeActions(); !actions.empty();
         actions = node.agent->TakeActions()) {
      for (AgentAction& it : actions) {
        ExecuteAction(node, it);
      }
    }
  }

  void ExecuteAction(EngineNode& node, AgentAction& action) {
    if (auto* send = std::get_if<SendToPeer>(&action)) {
      Message message;
      message.sender = {node.info.instance, Incarnation(9)};
      message.receiver = send->to.incarnation;
      message.body = std::move(send->body);
      entry_.OnMessage(message, now_);
    } else if (auto* start = std::get_if<StartStream>(&action)) {
      const Tokens memory = start->spec.prompt_tokens;
      node.streams[start->spec.stream] = {start->attempt, memory, 0};
      node.agent->OnStreamStarted(start->spec.stream, StartStatus::kStarted,
                                  now_);
    } else if (auto* import = std::get_if<ImportCacheAction>(&action)) {
      node.caches[import->cache] = import->memory;
      peak_cache_count_ = std::max(peak_cache_count_, CacheCount());
      node.agent->OnCacheImported(import->cache, StartStatus::kStarted, now_);
    } else if (auto* release = std::get_if<ReleaseCacheAction>(&action)) {
      node.caches.erase(release->cache);
    } else if (auto* cancel = std::get_if<CancelStream>(&action)) {
      node.streams.erase(cancel->stream);
    } else if (std::holds_alternative<ListEngine>(action)) {
      AnswerList(node);
    }
  }

  void AnswerList(EngineNode& node) {
    EngineHoldings list;
    list.engine = EngineIncarnation(1);
    for (const auto& [stream, it] : node.streams) {
      list.holdings.push_back({stream, it.memory, false});
    }
    for (const auto& [cache, memory] : node.caches) {
      list.holdings.push_back({cache, memory, true});
    }
    node.agent->OnEngineList(&list, now_, now_);
  }

  void DeliverFromEntry() {
    for (auto actions = entry_.TakeActions(); !actions.empty();
         actions = entry_.TakeActions()) {
      for (EntryAction& it : actions) {
        ExecuteAction(it);
      }
    }
  }

  void ExecuteAction(EntryAction& action) {
    if (auto* offer = std::get_if<SendOffer>(&action)) {
      ++offers_;
      Deliver(offer->to, std::move(offer->offer));
    } else if (auto* send = std::get_if<SendMessage>(&action)) {
      Deliver(send->to, std::move(send->body));
    } else if (auto* done = std::get_if<CompleteRequest>(&action)) {
      completed_.push_back(done->request);
    } else if (auto* failed = std::get_if<FailRequest>(&action)) {
      failures_.push_back(failed->failure);
    }
  }

  void Deliver(const PeerId& to, MessageBody body) {
    Message message;
    message.sender = {InstanceId("entry"), Incarnation(4)};
    message.receiver = to.incarnation;
    message.body = std::move(body);
    for (EngineNode& it : nodes_) {
      if (it.info.instance == to.instance) {
        it.agent->OnMessage(message, now_);
        TakeAgentActions(it);
      }
    }
  }

  size_t CacheCount() const {
    size_t count = 0;
    for (const EngineNode& it : nodes_) {
      count += it.caches.size();
    }
    return count;
  }

  Time now_{seconds(100)};
  FleetConfig config_;
  EntryCore entry_;
  std::vector<EngineNode> nodes_;
  uint64_t requests_ = 0;
  int offers_ = 0;
  std::vector<RequestId> completed_;
  std::vector<Failure> failures_;
  size_t peak_cache_count_ = 0;
};

// Guards against completions that fail or need more than one offer.
TEST_F(EntryAgentTest, CompletionsSucceedOnTheFirstOffer) {
  for (int i = 0; i < 50; ++i) {
    Submit(1'000 + 500 * i);
    Run(milliseconds(20));
  }
  Run(seconds(3));
  EXPECT_EQ(completed_.size(), 50u);
  EXPECT_TRUE(failures_.empty());
  EXPECT_EQ(offers_, 50);
}

// Guards against a gang that fails, or that leaves caches or memory
// reservations behind.
TEST_F(EntryAgentTest, GangCompletesAndReleasesItsMemory) {
  Submit(1'000'000);
  Run(seconds(5));
  EXPECT_EQ(completed_.size(), 1u);
  for (const Failure& it : failures_) {
    ADD_FAILURE() << ToString(it.code);
  }
  EXPECT_EQ(peak_cache_count_, 4u);
  Run(seconds(20));
  EXPECT_EQ(CacheCount(), 0u);
  for (const EngineNode& it : nodes_) {
    EXPECT_TRUE(it.agent->tables().reservations.empty());
  }
}

}  // namespace
}  // namespace burdockhatch
