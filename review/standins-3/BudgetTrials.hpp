/// Trials about the token budgets of programs.
#ifndef TAMARACK_REVIEW_BUDGETTRIALS_HPP
#define TAMARACK_REVIEW_BUDGETTRIALS_HPP

#include "Scene.hpp"

namespace tamarack::review {

/// A program that loops without end starts sub-agents on a route that needs the
/// key of its tenant and on a public one.
Task<Verdict> playTwoRoutes(Scene &Stage, bool HasTrouble);

} // namespace tamarack::review

#endif // TAMARACK_REVIEW_BUDGETTRIALS_HPP
