/// Trials about a request that crashes each replica that begins to run it.
#ifndef TAMARACK_REVIEW_CRASHTRIALS_HPP
#define TAMARACK_REVIEW_CRASHTRIALS_HPP

#include "Scene.hpp"

namespace tamarack::review {

/// A call of one caller crashes replicas. Other callers, whose calls harm
/// nobody, ask for the same path.
Task<Verdict> playDeadlyCall(Scene &Stage, bool HasTrouble);
/// A call crashes replicas until it is refused. Then all processes of the
/// system are killed at once, and it comes again.
Task<Verdict> playRecordsLost(Scene &Stage, bool HasTrouble);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_CRASHTRIALS_HPP
