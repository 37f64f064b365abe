/// The messages that a process with a data folder answers.
#ifndef TAMARACK_DAEMON_COPYSERVER_H
#define TAMARACK_DAEMON_COPYSERVER_H

#include "tamarack/ledger/FolderStore.h"
#include "tamarack/wire/Link.h"

namespace tamarack {
namespace internal {

/// Registers the copy messages at \p Server, which \p Store must outlive. An
/// order that names another folder is refused: a folder that came back empty
/// is not the one that was meant.
void serveCopies(LinkServer &Server, FolderStore &Store);

} // namespace internal
} // namespace tamarack

#endif // TAMARACK_DAEMON_COPYSERVER_H
