#include "OwnerModel.h"

namespace tamarack::test {

void ClusterModel::submitCall(std::size_t Operation, Owner &To) {
  if (To.State != Phase::Serving)
    return;
  Caller &Asking = Callers[Operation];
  Asking.WasToldNotRun = false;
  Job Work{Operation, ++Asking.RequestNumber, Stage::Appending, {}, {}, {}};
  CallRequest Request = Operations[Operation].Request;
  Request.Call = CallId("c" + std::to_string(++NextNumber));
  const ProgramId Root = rootOf(Request.Program);
  if (To.Pending.count(Root) != 0)
    return;
  const ProgramTree &Tree = To.Trees[Root];
  const CallDecision Decision = decideCall(Tree, Request, 0);
  Work.Program = Request.Program;
  if (const auto *Stored = std::get_if<StoredAnswer>(&Decision)) {
    ++Seen.Stored;
    return deliverAnswer(Work, Stored->Answer);
  }
  if (const auto *Join = std::get_if<JoinCall>(&Decision)) {
    ++Seen.Joined;
    Work.Progress = Stage::Joined;
    Work.Sent.Call = Join->Call;
  } else if (const auto *Start = std::get_if<StartCall>(&Decision);
             Start && To.CurrentRecord.Copies.size() >= 2) {
    Work.Sent =
        Intent{Start->Call,        Start->Sequence,    Request.IdempotencyKey,
               Request.Digest,     Start->Attempt,     EndpointId("e"),
               Endpoint,           Request.Repeatable, Request.WorstCase,
               Request.NewMessages};
    auto &Records = To.Pending[Root].Records;
    if (Start->BeginFirst)
      Records.push_back({Request.Program, Request.IfNew});
    Records.push_back({Request.Program, Work.Sent});
  } else {
    const auto *Refused = std::get_if<CallRefusal>(&Decision);
    if (Refused && Refused->EndRecord)
      To.Pending[Root].Records.push_back(*Refused->EndRecord);
    if (Refused && Refused->Cause.Proof == NotRun::Unproved)
      return;
    // With too few copies a retry is refused as well. That does not prove that
    // earlier attempts did not run.
    if (Start && Start->Attempt > 1)
      return;
    Work.Progress = Stage::Confirming;
  }
  To.Jobs[++NextNumber] = Work;
}

void ClusterModel::onRecordApplied(Owner &O, const Record &Entry) {
  ProgramTree &Tree = O.Trees[rootOf(Entry.Program)];
  const Expected<void> Applied = applyRecord(Tree, Entry);
  checkInvariant(Applied.has_value(),
                 "an accepted record is refused: " +
                     (Applied ? std::string() : Applied.error().Message));
  checkTree(Tree);
  if (const auto *Sent = std::get_if<Intent>(&Entry.Body))
    for (auto &[Number, Work] : O.Jobs)
      if (Work.Progress == Stage::Appending && Work.Sent == *Sent)
        Work.Progress = Stage::Ready;
  const auto *Done = std::get_if<AttemptResult>(&Entry.Body);
  if (!Applied || !Done)
    return;
  const AttemptResult Answer =
      answerFor(Tree.Programs.at(Entry.Program).Calls.at(Done->Call));
  for (auto Each = O.Jobs.begin(); Each != O.Jobs.end();) {
    const Job Work = Each->second;
    const bool Answered = Work.Sent.Call == Done->Call;
    Each = Answered ? O.Jobs.erase(Each) : std::next(Each);
    if (Answered)
      deliverAnswer(Work, Answer);
  }
}

void ClusterModel::advanceJob(Owner &O, unsigned Number) {
  switch (O.Jobs.at(Number).Progress) {
  case Stage::Ready:
    return sendAttempt(O, Number);
  case Stage::Sent:
    return askEndpoint(O, Number);
  case Stage::Confirming:
    return confirmEpoch(O, Number);
  case Stage::Appending:
  case Stage::Recording:
  case Stage::Joined:
    return;
  }
}

void ClusterModel::sendAttempt(Owner &O, unsigned Number) {
  Job &Work = O.Jobs.at(Number);
  Work.Progress = Stage::Sent;
  InFlight.push_back([this, &O, Number, Term = O.Term, Work](bool AnswerLost) {
    if (Work.Sent.EndpointIncarnation != Endpoint)
      return;
    const auto Key = std::pair(Work.Sent.Call, Work.Sent.Attempt);
    if (Attempts.count(Key) == 0)
      Attempts[Key] = execute(Work.Program, Work.Sent);
    if (!AnswerLost && O.Term == Term && Attempts[Key])
      onAttemptAnswered(O, Number, *Attempts[Key]);
  });
}

/// Asks for the outcome of an attempt. One that has not arrived yet is void
/// from then on.
void ClusterModel::askEndpoint(Owner &O, unsigned Number) {
  const Job Work = O.Jobs.at(Number);
  InFlight.push_back([this, &O, Number, Term = O.Term, Work](bool AnswerLost) {
    const auto Key = std::pair(Work.Sent.Call, Work.Sent.Attempt);
    AttemptResult Answer{Key.first, Key.second, Outcome::Unknown, "", "", 0};
    if (Work.Sent.EndpointIncarnation == Endpoint) {
      Seen.Voided += Attempts.count(Key) == 0 ? 1 : 0;
      const std::optional<AttemptResult> Known = Attempts[Key];
      Answer.How = Outcome::NotRun;
      Answer = Known.value_or(Answer);
    }
    if (!AnswerLost && O.Term == Term)
      onAttemptAnswered(O, Number, Answer);
  });
}

void ClusterModel::onAttemptAnswered(Owner &O, unsigned Number,
                                     AttemptResult Answer) {
  const auto Found = O.Jobs.find(Number);
  if (Found == O.Jobs.end() || Found->second.Progress != Stage::Sent)
    return;
  Found->second.Progress = Stage::Recording;
  const ProgramId &Program = Found->second.Program;
  O.Pending[rootOf(Program)].Records.push_back({Program, Answer});
}

/// Answers "not run" once every copy has confirmed the epoch of the owner.
void ClusterModel::confirmEpoch(Owner &O, unsigned Number) {
  const Epoch At = O.CurrentRecord.Version;
  for (const CopyLocation &Location : O.CurrentRecord.Copies) {
    const FolderId By = Location.Folder;
    sendToCopy(
        O, By, [At](ShardCopy &Held) { return checkSealedEpoch(Held, At); },
        [this, &O, Number, By](const ShardCopy &) {
          const auto Found = O.Jobs.find(Number);
          if (Found == O.Jobs.end())
            return;
          Found->second.Confirmed.insert(By);
          for (const CopyLocation &Each : O.CurrentRecord.Copies)
            if (Found->second.Confirmed.count(Each.Folder) == 0)
              return;
          const Job Work = Found->second;
          O.Jobs.erase(Found);
          deliverNotRun(Work);
        });
  }
}

} // namespace tamarack::test
