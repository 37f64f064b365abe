#include "CopyServer.h"

#include "tamarack/entry/Messages.h"

namespace tamarack {
namespace internal {

void serveCopies(LinkServer &Server, FolderStore &Store) {
  const auto Check = [&Store](const FolderId &Named) -> Expected<void> {
    if (Named != Store.folder())
      return refuse(ErrorKind::Fenced, "this folder is another one");
    return {};
  };
  const auto AckOf = [](const Expected<void> &Done) -> Expected<Ack> {
    if (!Done)
      return tl::make_unexpected(Done.error());
    return Ack{};
  };
  Server.handle<SealRequest>([&Store, Check, AckOf](const SealRequest &Order) {
    const auto Right = Check(Order.Folder);
    return AckOf(Right ? Store.seal(Order.Shard, Order.At) : Right);
  });
  Server.handle<AppendRequest>(
      [&Store, Check, AckOf](const AppendRequest &Order) {
        Expected<void> Done = Check(Order.Folder);
        for (const Append &Entry : Order.Entries)
          if (Done)
            Done = Store.append(Order.Shard, Entry);
        return AckOf(Done);
      });
  Server.handle<InstallRequest>(
      [&Store, Check, AckOf](const InstallRequest &Order) {
        const auto Right = Check(Order.Folder);
        return AckOf(Right ? Store.install(Order.Shard, Order.Change) : Right);
      });
  Server.handle<ReadLogsRequest>(
      [&Store, Check](const ReadLogsRequest &Order) -> Expected<ShardLogs> {
        if (const auto Right = Check(Order.Folder); !Right)
          return tl::make_unexpected(Right.error());
        auto Read = Store.readAll(Order.Shard);
        if (!Read)
          return tl::make_unexpected(Read.error());
        ShardLogs Logs;
        for (auto &[Root, Records] : *Read)
          Logs.Roots.push_back({Root, std::move(Records)});
        return Logs;
      });
}

} // namespace internal
} // namespace tamarack
