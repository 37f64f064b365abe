#include "tamarack/standins/ServiceServer.h"

#include "HttpHost.h"

#include "tamarack/base/Ids.h"

#include <condition_variable>
#include <mutex>

namespace tamarack {
using namespace internal;
namespace {

/// A hanging run looks this often whether its caller has gone.
constexpr std::chrono::milliseconds HangSlice(100);

struct ServiceFaults {
  bool Hang = false;
  Duration Delay{0};
  std::uint64_t FailNext = 0;
  std::uint64_t DropAnswers = 0;
};

bool takeOne(std::uint64_t &Left) {
  if (Left == 0)
    return false;
  --Left;
  return true;
}

std::string receiptOf(const std::string &Action, const std::string &Key,
                      std::uint64_t Execution) {
  auto Text = Action + "\n" + Key + "\n" + std::to_string(Execution);
  return "receipt-" + std::to_string(stableHash(Text));
}

} // namespace

struct ServiceServer::Impl {
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  ServiceFaults Fault;
  std::map<std::string, std::uint64_t> Executions;
  /// Last, so that no handler runs once the members above are gone.
  std::unique_ptr<HttpHost> Host;

  void handle(Exchange &Call);
  void handleFaults(Exchange &Call);
  void run(Exchange &Call, const std::string &Action);
  void waitWhileHanging(std::unique_lock<std::mutex> &Lock, Exchange &Call);
};

void ServiceServer::Impl::handle(Exchange &Call) {
  auto Action = Call.pathBehind("/v1/run/");
  if (Action && Call.method() == "POST")
    return run(Call, *Action);
  if (Call.is("POST", "/v1/faults"))
    return handleFaults(Call);
  if (!Call.is("GET", "/v1/executions"))
    return Call.answer(404, {{"error", "not found"}});
  std::unique_lock Lock(Mutex);
  Json Body = {{"executions", Executions}};
  Lock.unlock();
  Call.answer(200, Body);
}

void ServiceServer::Impl::handleFaults(Exchange &Call) {
  Json Body = Call.body();
  std::lock_guard Lock(Mutex);
  Fault.Hang = Body.value("hang", Fault.Hang);
  if (Body.contains("delay_ms"))
    Fault.Delay =
        std::chrono::milliseconds(Body["delay_ms"].get<std::int64_t>());
  Fault.FailNext = Body.value("fail_next", Fault.FailNext);
  Fault.DropAnswers = Body.value("drop_answers", Fault.DropAnswers);
  Changed.notify_all();
  Call.answer(200, Json::object());
}

void ServiceServer::Impl::run(Exchange &Call, const std::string &Action) {
  std::string Key = Call.header("Idempotency-Key");
  std::unique_lock Lock(Mutex);
  if (takeOne(Fault.FailNext)) {
    Lock.unlock();
    return Call.answer(500, {{"error", "failed before running"}});
  }
  std::uint64_t Execution = ++Executions[Key];
  bool Drop = takeOne(Fault.DropAnswers);
  Changed.wait_for(Lock, Fault.Delay, [this] { return Stopping; });
  waitWhileHanging(Lock, Call);
  Lock.unlock();
  if (Drop)
    return Call.drop();
  Call.answer(200, {{"action", Action},
                    {"key", Key},
                    {"execution", Execution},
                    {"receipt", receiptOf(Action, Key, Execution)}});
}

void ServiceServer::Impl::waitWhileHanging(std::unique_lock<std::mutex> &Lock,
                                           Exchange &Call) {
  while (Fault.Hang && !Stopping && !Call.callerGone())
    Changed.wait_for(Lock, HangSlice);
}

ServiceServer::ServiceServer(std::unique_ptr<Impl> Pimpl)
    : Pimpl(std::move(Pimpl)) {}

Expected<std::unique_ptr<ServiceServer>>
ServiceServer::create(Options Settings) {
  auto Built = std::make_unique<Impl>();
  Built->Fault.Delay = Settings.Delay;
  auto Host =
      HttpHost::create(Settings.Port, [Raw = Built.get()](Exchange &Call) {
        Raw->handle(Call);
      });
  if (!Host)
    return tl::unexpected(Host.error());
  Built->Host = std::move(*Host);
  return std::unique_ptr<ServiceServer>(new ServiceServer(std::move(Built)));
}

ServiceServer::~ServiceServer() {
  {
    std::lock_guard Lock(Pimpl->Mutex);
    Pimpl->Stopping = true;
    Pimpl->Changed.notify_all();
  }
  Pimpl->Host.reset();
}

std::uint16_t ServiceServer::port() const { return Pimpl->Host->port(); }

std::map<std::string, std::uint64_t> ServiceServer::executions() const {
  std::lock_guard Lock(Pimpl->Mutex);
  return Pimpl->Executions;
}

} // namespace tamarack
