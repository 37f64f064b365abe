#include "Platform.h"

namespace tamarack {
namespace internal {
namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;

tl::unexpected<Error> unavailable(const std::string &Why, NotRun Proof) {
  return refuse(ErrorKind::PlatformUnavailable, Why, Proof);
}

template <typename Value> Expected<Value> parseAnswer(const std::string &Text) {
  try {
    return Json::parse(Text).get<Value>();
  } catch (const Json::exception &Thrown) {
    return unavailable(std::string("unexpected answer: ") + Thrown.what(),
                       NotRun::Unproved);
  }
}

} // namespace

Expected<HttpAnswer> Platform::call(const HttpRequest &Request) {
  auto Answer = httpCall(At, Request, Limit);
  Up = Answer && Answer->Status < 500;
  if (Up)
    return Answer;
  ++Counts.Failures;
  if (!Answer)
    return unavailable(Answer.error().Message, Answer.error().Proof);
  return unavailable("the platform's service answered " +
                         std::to_string(Answer->Status),
                     NotRun::Unproved);
}

Expected<std::optional<StoredValue>> Platform::read(const std::string &Key) {
  ++Counts.Reads;
  const auto Answer = call({"GET", "/v1/kv/" + Key, "", {}});
  if (!Answer)
    return tl::make_unexpected(Answer.error());
  if (Answer->Status == HttpNotFound)
    return std::optional<StoredValue>();
  const auto Body = parseAnswer<Json>(Answer->Body);
  if (!Body || !Body->is_object() || !Body->contains("value") ||
      !Body->contains("revision"))
    return unavailable("unexpected answer for " + Key, NotRun::Unproved);
  return std::optional<StoredValue>(
      StoredValue{Body->value("value", std::string()),
                  Body->value("revision", std::uint64_t{0})});
}

Expected<void>
Platform::swap(const std::string &Key, std::uint64_t Revision,
               const std::string &Value,
               const std::function<bool(const std::string &)> &IsOurs) {
  ++Counts.Writes;
  const Json Body{{"value", Value}, {"expected_revision", Revision}};
  const auto Answer = call({"PUT", "/v1/kv/" + Key, Body.dump(), {}});
  if (Answer && Answer->Status == HttpOk)
    return {};
  if (Answer && Answer->Status != HttpConflict)
    return unavailable("write of " + Key + " answered " +
                           std::to_string(Answer->Status),
                       NotRun::Proved);
  if (!Answer && Answer.error().Proof == NotRun::Proved)
    return tl::make_unexpected(Answer.error());
  // The write may have taken effect, or a repeated one met its own effect.
  ++Counts.AnswersReadBack;
  const auto Stored = read(Key);
  if (!Stored)
    return tl::make_unexpected(Stored.error());
  if (*Stored && IsOurs((*Stored)->Value))
    return {};
  if (!Answer && (*Stored ? (*Stored)->Revision : 0) == Revision)
    return unavailable("write of " + Key + " did not take effect",
                       NotRun::Unproved);
  return refuse(ErrorKind::RevisionConflict, Key + " was changed by another",
                NotRun::Proved);
}

Expected<std::vector<Member>> Platform::instances() {
  ++Counts.Reads;
  const auto Answer = call({"GET", "/v1/instances", "", {}});
  if (!Answer)
    return tl::make_unexpected(Answer.error());
  const auto Body = parseAnswer<Json>(Answer->Body);
  if (!Body || !Body->is_object())
    return unavailable("unexpected list of instances", NotRun::Unproved);
  std::vector<Member> Listed;
  for (const Json &Row : Body->value("instances", Json::array()))
    if (auto Read = parseAnswer<Member>(Row.dump()))
      Listed.push_back(std::move(*Read));
  return Listed;
}

std::string PlatformShardRecords::keyOf(ShardId Shard) const {
  return "tamarack/shards/" + Region.text() + "/" + std::to_string(Shard);
}

Expected<std::optional<StoredShardRecord>>
PlatformShardRecords::read(ShardId Shard) {
  const auto Stored = Service.read(keyOf(Shard));
  if (!Stored)
    return tl::make_unexpected(Stored.error());
  if (!*Stored)
    return std::optional<StoredShardRecord>();
  auto Value = parseAnswer<ShardRecord>((*Stored)->Value);
  if (!Value)
    return tl::make_unexpected(Value.error());
  return std::optional<StoredShardRecord>(
      StoredShardRecord{std::move(*Value), (*Stored)->Revision});
}

Expected<void> PlatformShardRecords::swap(ShardId Shard, std::uint64_t Revision,
                                          const ShardRecord &Next) {
  return Service.swap(keyOf(Shard), Revision, Json(Next).dump(),
                      [&Next](const std::string &Value) {
                        const auto Stored = parseAnswer<ShardRecord>(Value);
                        return Stored && Stored->Token == Next.Token;
                      });
}

} // namespace internal
} // namespace tamarack
