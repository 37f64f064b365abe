#include "Client.hpp"

namespace tamarack::review {

std::string eventData(const std::string &Body) {
  std::string Result;
  std::size_t At = 0;
  while (At < Body.size()) {
    const std::size_t End = Body.find('\n', At);
    if (End == std::string::npos)
      break;
    const std::string Line = Body.substr(At, End - At);
    if (Line.rfind("data: ", 0) == 0)
      Result += Line.substr(6) + "\n";
    At = End + 1;
  }
  return Result;
}

unsigned eventCount(const std::string &Body) {
  unsigned Result = 0;
  for (std::size_t At = Body.find("\n\n"); At != std::string::npos;
       At = Body.find("\n\n", At + 2))
    ++Result;
  return Result;
}

Task<Reply> sendOn(World &Deployment, ConnectionPool &Pool, Call Request) {
  Reply Result;
  Deployment.record().line("send " + Request.RequestId + " " + Request.Method +
                           " " + Request.Target + " to " + Request.Entry);
  const auto Opened = co_await HttpCall::open(Pool, Request.Entry);
  if (!Opened) {
    Deployment.record().line("answer " + Request.RequestId +
                             " none: no connection");
    co_return Result;
  }
  const std::shared_ptr<HttpCall> Open = *Opened;
  asio::steady_timer Timer(Deployment.loop(), Request.Timeout);
  Timer.async_wait([Weak = std::weak_ptr<HttpCall>(Open)](const ErrorCode &No) {
    const auto Self = Weak.lock();
    if (!No && Self)
      Self->abort();
  });
  HttpRequest Message{Request.Method, Request.Target, Request.Fields,
                      Request.Body};
  Message.Fields.add("Host", "review.example");
  Message.Fields.add("X-Request-Id", Request.RequestId);
  Message.Fields.add(
      "X-Deadline-Ms",
      std::to_string(Request.Timeout / std::chrono::milliseconds(1)));
  if (Request.Method != "GET")
    Message.Fields.add("Content-Length", std::to_string(Request.Body.size()));
  Open->send(encodeRequest(Message));
  const Expected<HttpHead> Head = co_await Open->readHead();
  if (Head) {
    Result.Status = Head->Status;
    Result.IsSigned = Head->Fields.has("X-Server-Signature");
    while (true) {
      const Expected<std::optional<std::string>> Piece =
          co_await Open->readPiece();
      if (!Piece)
        break;
      if (!*Piece) {
        Result.IsWhole = true;
        break;
      }
      Result.Body += **Piece;
    }
  }
  Timer.cancel();
  if (Result.IsWhole)
    Open->finish();
  else
    Open->abort();
  Deployment.record().line(
      "answer " + Request.RequestId + " " +
      (Result.Status == 0 ? "none" : std::to_string(Result.Status)) +
      (Result.IsSigned ? " signed" : "") +
      (Result.IsWhole ? " whole" : " cut") +
      (Result.Status >= 400 && !Result.IsSigned
           ? " \"" + Result.Body.substr(0, Result.Body.find('\n')) + "\""
           : ""));
  co_return Result;
}

Task<Reply> sendNew(World &Deployment, Call Request) {
  HttpCallLimits Limits;
  Limits.MaxIdlePerServer = 0;
  ConnectionPool Pool(Deployment.loop(), Limits);
  co_return co_await sendOn(Deployment, Pool, std::move(Request));
}

} // namespace tamarack::review
