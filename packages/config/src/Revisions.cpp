#include "tamarack/config/Revisions.h"

#include <algorithm>

namespace tamarack {
namespace {

void takeIfHigher(RevisionStep &Step, const OperatorDocument &Document) {
  if (Document.Made.Number <= Step.State.Held.Made.Number)
    return;
  Step.State.Held = Document;
  Step.State.FarNewsSince.reset();
  Step.Actions.emplace_back(PutInForce{Document});
}

void answer(RevisionStep &Step, Expected<Revision> Result) {
  Step.Actions.emplace_back(
      AnswerOperator{Step.State.Proposed->RequestId, std::move(Result)});
  Step.State.Proposed.reset();
}

void answerAccepted(RevisionStep &Step) {
  answer(Step, Step.State.Proposed->Document.Made.Number);
}

void answerConflict(RevisionStep &Step, Revision Current) {
  answer(Step, refuse(ErrorKind::RevisionConflict,
                      "revision " + std::to_string(Current) +
                          " was accepted meanwhile",
                      NotRun::Proved));
}

void answerUnknown(RevisionStep &Step) {
  answer(Step, refuse(ErrorKind::OutcomeUnknown,
                      "it can't be learned whether the change was accepted; "
                      "look at the history later"));
}

void sendProposal(RevisionStep &Step) {
  const OperatorDocument &Next = Step.State.Proposed->Document;
  Step.Actions.emplace_back(CompareAndSwap{Next.Made.Number - 1, Next});
}

/// Looks into an uncertain change once more, or gives up.
void inquire(RevisionStep &Step) {
  ProposedChange &Change = *Step.State.Proposed;
  Change.IsUncertain = true;
  if (++Change.Inquiries > Step.State.Limits.MaxInquiries)
    answerUnknown(Step);
  else
    Step.Actions.emplace_back(ReadService{});
}

bool isProposed(const RevisionState &State, const std::string &Token) {
  return State.Proposed && State.Proposed->Document.Made.Token == Token;
}

bool isUncertain(const RevisionState &State) {
  return State.Proposed && State.Proposed->IsUncertain;
}

/// The note of revision \p Number in \p Document or its history.
const RevisionNote *findNote(const OperatorDocument &Document,
                             Revision Number) {
  if (Document.Made.Number == Number)
    return &Document.Made;
  for (const RevisionNote &Note : Document.History)
    if (Note.Number == Number)
      return &Note;
  return nullptr;
}

/// Settles an uncertain change by what the service holds now.
void settle(RevisionStep &Step, const OperatorDocument &Current) {
  const RevisionNote &Made = Step.State.Proposed->Document.Made;
  const RevisionNote *Note = findNote(Current, Made.Number);
  if (Note && Note->Token == Made.Token)
    answerAccepted(Step);
  else if (Note)
    answerConflict(Step, Current.Made.Number);
  else if (Current.Made.Number > Made.Number)
    answerUnknown(Step);
  else
    // Not there yet. Sending the same change again is safe: of two equal
    // swaps at most one can win, and both carry the same token.
    sendProposal(Step);
}

bool isPullPending(const RevisionState &State, TimePoint Now) {
  return State.Pulling && Now - State.Pulling->Since < State.Limits.PullLimit;
}

/// Whether to wait for a near peer rather than use the slow link.
bool shouldWaitForNear(RevisionState &State, const PeerRevision &News,
                       TimePoint Now) {
  if (News.Away == Distance::Near || State.IsWatcher)
    return false;
  if (!State.FarNewsSince)
    State.FarNewsSince = Now;
  return Now - *State.FarNewsSince < State.Limits.FarPullDelay;
}

tl::unexpected<Error> refuseUnconfirmed() {
  return refuse(ErrorKind::PlatformUnavailable,
                "the current revision is not known yet", NotRun::Proved);
}

tl::unexpected<Error> refuseStale(Revision Asked, Revision Held) {
  return refuse(ErrorKind::RevisionConflict,
                "expected revision " + std::to_string(Asked) +
                    ", but revision " + std::to_string(Held) + " is in force",
                NotRun::Proved);
}

tl::unexpected<Error> refuseBusy() {
  return refuse(ErrorKind::RevisionConflict,
                "another change is being accepted here", NotRun::Proved);
}

/// Why \p Request can't be tried here; nothing when it can.
std::optional<tl::unexpected<Error>> objectionTo(const RevisionState &State,
                                                 const ChangeRequest &Request) {
  if (!State.IsConfirmed)
    return refuseUnconfirmed();
  if (State.Proposed)
    return refuseBusy();
  if (Request.Expected != State.Held.Made.Number)
    return refuseStale(Request.Expected, State.Held.Made.Number);
  const Expected<OperatorDocument> Checked = operatorDocumentFrom(
      Json(nextRevision(State.Held, Request.Content, Request.Made)));
  if (!Checked)
    return tl::make_unexpected(Checked.error());
  return std::nullopt;
}

} // namespace

RevisionStep startRevisions(const InstanceId &Self,
                            const std::optional<OperatorDocument> &FromFolder,
                            const RevisionLimits &Limits) {
  RevisionStep Step;
  Step.State.Self = Self;
  Step.State.Limits = Limits;
  if (FromFolder)
    takeIfHigher(Step, *FromFolder);
  Step.Actions.emplace_back(ReadService{});
  return Step;
}

RevisionStep onOffered(RevisionState State, const OperatorDocument &Document,
                       bool IsConfirmed) {
  RevisionStep Step{std::move(State), {}};
  Step.State.Pulling.reset();
  Step.State.IsConfirmed = Step.State.IsConfirmed || IsConfirmed;
  takeIfHigher(Step, Document);
  return Step;
}

RevisionStep onPeerRevision(RevisionState State, const PeerRevision &News,
                            TimePoint Now) {
  RevisionStep Step{std::move(State), {}};
  if (News.Number <= Step.State.Held.Made.Number) {
    Step.State.IsConfirmed = Step.State.IsConfirmed || News.IsConfirmed;
    return Step;
  }
  if (isPullPending(Step.State, Now) ||
      shouldWaitForNear(Step.State, News, Now))
    return Step;
  Step.State.Pulling = PullInFlight{News.Peer, Now};
  Step.Actions.emplace_back(PullFrom{News.Peer});
  return Step;
}

RevisionStep onChangeAsked(RevisionState State, const ChangeRequest &Request) {
  RevisionStep Step{std::move(State), {}};
  if (const auto Objection = objectionTo(Step.State, Request)) {
    Step.Actions.emplace_back(AnswerOperator{Request.RequestId, *Objection});
    return Step;
  }
  Step.State.Proposed = ProposedChange{
      Request.RequestId,
      nextRevision(Step.State.Held, Request.Content, Request.Made)};
  sendProposal(Step);
  return Step;
}

RevisionStep onCasWon(RevisionState State, const std::string &Token) {
  RevisionStep Step{std::move(State), {}};
  if (!isProposed(Step.State, Token))
    return Step;
  takeIfHigher(Step, Step.State.Proposed->Document);
  answerAccepted(Step);
  return Step;
}

RevisionStep onCasLost(RevisionState State, const std::string &Token) {
  // A lost swap may have lost to an earlier copy of itself, so the service is
  // read in any case.
  return onCasAnswerLost(std::move(State), Token);
}

RevisionStep onCasAnswerLost(RevisionState State, const std::string &Token) {
  RevisionStep Step{std::move(State), {}};
  if (isProposed(Step.State, Token))
    inquire(Step);
  return Step;
}

RevisionStep onCasNotSent(RevisionState State, const std::string &Token) {
  RevisionStep Step{std::move(State), {}};
  if (!isProposed(Step.State, Token))
    return Step;
  if (isUncertain(Step.State))
    // An earlier copy may still win.
    inquire(Step);
  else
    answer(Step,
           refuse(ErrorKind::PlatformUnavailable,
                  "the platform's service can't be reached", NotRun::Proved));
  return Step;
}

RevisionStep onServiceRead(RevisionState State,
                           const std::optional<OperatorDocument> &Current) {
  RevisionStep Step{std::move(State), {}};
  const OperatorDocument Document = Current.value_or(OperatorDocument());
  Step.State.IsConfirmed = true;
  takeIfHigher(Step, Document);
  if (isUncertain(Step.State))
    settle(Step, Document);
  return Step;
}

RevisionStep onServiceReadFailed(RevisionState State) {
  RevisionStep Step{std::move(State), {}};
  if (isUncertain(Step.State))
    inquire(Step);
  return Step;
}

bool mayServe(const RevisionState &State) { return State.IsConfirmed; }

std::vector<InstanceId> watchers(std::vector<InstanceId> Live,
                                 std::size_t Count) {
  std::sort(Live.begin(), Live.end(),
            [](const InstanceId &Left, const InstanceId &Right) {
              const auto Rank = [](const InstanceId &Name) {
                return std::make_pair(stableHash(Name.text()), Name);
              };
              return Rank(Left) < Rank(Right);
            });
  Live.resize(std::min(Count, Live.size()));
  return Live;
}

} // namespace tamarack
