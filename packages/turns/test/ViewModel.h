/// A model of ledgers, their disks and the view, for tests that explore every
/// history of a small deployment:
///
///   const Exploration Seen = explore({.Members = 3, .Standby = 1});
///   BOOST_TEST(Seen.Unserved.Count == 0U);
///
/// The steps of ledgers are those of View.h. A record is represented by the
/// folders that have it: in each state, every set of members that may
/// acknowledge a record does.
#ifndef TAMARACK_TURNS_TEST_VIEWMODEL_H
#define TAMARACK_TURNS_TEST_VIEWMODEL_H

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::testing {

/// The deployment, and which histories of it are explored.
struct ModelOptions {
  unsigned Members = 3;
  unsigned DurableCopies = 2;
  /// Ledgers beside the members.
  unsigned Standby = 1;
  /// Disks that may be lost in one history; never more at a time than
  /// DurableCopies - 1.
  unsigned Losses = 1;
  /// Ledgers that may be down at a time, those that are gone not included.
  unsigned MaxDown = 1;
  /// Whether the last of the first members is ordered to retire at some moment.
  bool Retires = true;
  /// Whether a ledger may take a member that answers for unreachable, and a
  /// retiring one may take a member for answering or not, wrongly.
  bool Suspects = true;
  /// Exploration ends after this number of states, and is incomplete then.
  std::size_t MaxStates = 3000000;
};

/// States that violate a property, and a shortest history that leads to one.
struct Violations {
  std::size_t Count = 0;
  std::string FirstHistory;
};

struct Exploration {
  std::size_t States = 0;
  bool IsComplete = true;
  /// States in which an acknowledged record cannot be read any more.
  Violations Lost;
  /// States from which no steps of the ledgers lead to a view that serves,
  /// although enough disks are left.
  Violations Unserved;
  /// States from which no steps of the ledgers complete a retirement, although
  /// enough others are left.
  Violations Unretired;
  /// States in which a retirement has just left too few disks to serve. Counted
  /// only without suspicions, since the last answer is always older than the
  /// decision.
  Violations Stranded;
};

Exploration explore(const ModelOptions &Options);

} // namespace tamarack::testing

#endif // TAMARACK_TURNS_TEST_VIEWMODEL_H
