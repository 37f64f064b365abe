/// A stand-in for a replica of a service, which writes its answers byte by byte
/// so that a case can decide what is on the wire.
#ifndef TAMARACK_REVIEW_REPLICA_HPP
#define TAMARACK_REVIEW_REPLICA_HPP

#include "World.hpp"

#include "tamarack/net/HttpMessage.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <map>
#include <set>

namespace tamarack::review {

/// A connection from an entry to a replica.
struct ReplicaConnection {
  explicit ReplicaConnection(Tcp::socket Socket) : Socket(std::move(Socket)) {}
  Tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// The requests that were read on it.
  unsigned Requests = 0;
  /// The second copy of an earlier answer, if one is still to be sent.
  std::string Extra;

  Task<bool> write(std::string Text);
  void close(bool Reset);
};

class Replica {
public:
  using Connection = std::shared_ptr<ReplicaConnection>;
  /// Answers a request that is addressed to this replica. Returns whether the
  /// connection may be used again.
  using Handler = std::function<Task<bool>(Replica &, Connection, HttpRequest)>;

  struct Options {
    std::string Id;
    std::string Service;
    std::string Zone;
    std::string Address;
    unsigned Slots = 32;
  };

  Replica(World &Deployment, Options Config, Handler Handle);

  /// Listens and registers itself at \p Version.
  bool start(const std::string &Version);
  /// Listens as a new process at \p Version without registering itself, as
  /// when the store does not answer.
  bool startUnregistered(const std::string &Version);
  /// Writes its entry, as at each heartbeat.
  void publish(const std::string &State);
  void unregister();
  /// Ends the process: closes the port and resets all connections.
  void stop();

  /// Records that the replica began to work on a request.
  void recordRun(const HttpRequest &Request);
  static std::string requestId(const HttpRequest &Request);
  /// The head of an answer of this replica to \p Request.
  HttpHead signedHead(int Status, const HttpRequest &Request) const;

  const std::string &id() const { return Config.Id; }
  const std::string &version() const { return Version; }
  bool isUp() const { return Listener != nullptr; }
  World &world() { return Deployment; }

  /// How often each request was run, by its id, by all replicas.
  static std::map<std::string, unsigned> &runs();
  /// What the replica that ran a request got as its body, by its id.
  static std::map<std::string, std::string> &bodies();

private:
  Task<void> serve(Connection Link, unsigned Generation);

  World &Deployment;
  const Options Config;
  const Handler Handle;
  std::string Version;
  std::uint64_t Born = 0;
  unsigned Sequence = 0;
  unsigned Generation = 0;
  std::shared_ptr<Tcp::acceptor> Listener;
  std::set<Connection> Connections;
};

/// Answers with a short body.
Task<bool> answerPlain(Replica &Self, Replica::Connection Link,
                       HttpRequest Request, Duration Work);
/// Streams \p Events events with \p Gap before each of them. Goes on after
/// Last-Event-Id where the request has one.
Task<bool> answerStream(Replica &Self, Replica::Connection Link,
                        HttpRequest Request, unsigned Events, Duration Gap);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_REPLICA_HPP
