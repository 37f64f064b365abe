/// The engine behind its HTTP interface: streams, scheduler and reports.
///
///   EngineCore Core(Settings);
///   if (Core.submit(Request) == Submission::Accepted)
///     auto View = Core.waitForTokens("s1", 0);
///
/// One scheduler thread steps the batch. A stream goes on when nobody reads
/// it and is kept for resumption after it finished. Safe from many threads.
#ifndef TAMARACK_STANDINS_ENGINECORE_H
#define TAMARACK_STANDINS_ENGINECORE_H

#include "EngineBatch.h"

#include "tamarack/base/Json.h"
#include "tamarack/standins/EngineServer.h"

#include <memory>

namespace tamarack::internal {

enum class Submission { Accepted, AlreadyKnown, TooLong };

/// A stream as a reader at some offset sees it.
struct StreamView {
  std::string Model;
  std::vector<std::string> NewTokens;
  bool Finished = false;
  bool Cancelled = false;
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0;
  TokenCount Generated = 0;
};

class EngineCore {
public:
  explicit EngineCore(const EngineServer::Options &Settings);
  /// Stops the scheduler and wakes all readers.
  ~EngineCore();

  Submission submit(const std::string &Model, BatchRequest Request);
  /// Waits a short while for tokens behind \p Offset or the stream's end;
  /// nothing when the stream is unknown.
  std::optional<StreamView> waitForTokens(const std::string &Stream,
                                          TokenCount Offset);
  bool cancel(const std::string &Stream);
  /// Makes every wait return at once from now on.
  void stop();
  bool stopping() const;

  Json cacheListing() const;
  bool dropCacheEntry(const std::string &Key);
  /// Events as late and with as many gaps as the settings say.
  Json cacheEvents(std::uint64_t After) const;
  Json laggingLoad() const;
  Json stats() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace tamarack::internal

#endif // TAMARACK_STANDINS_ENGINECORE_H
