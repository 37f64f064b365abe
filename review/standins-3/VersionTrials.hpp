/// Trials about streams that are taken up again while software versions change.
#ifndef TAMARACK_REVIEW_VERSIONTRIALS_HPP
#define TAMARACK_REVIEW_VERSIONTRIALS_HPP

#include "Scene.hpp"

namespace tamarack::review {

/// A replica crashes, comes back under its id with another software version,
/// and crashes again while it streams. Clients take the streams up again.
Task<Verdict> playVersionChanged(Scene &Stage, bool HasTrouble);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_VERSIONTRIALS_HPP
