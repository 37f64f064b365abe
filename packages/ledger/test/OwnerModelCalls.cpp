#include "OwnerModel.h"

namespace tamarack::test {

void World::ask(std::size_t Operation, Owner &To) {
  if (To.Now != Phase::Serving)
    return;
  Caller &Asking = Callers[Operation];
  Asking.ToldNotRun = false;
  Job Work{Operation, ++Asking.Ticket, Stage::Appending, {}, {}, {}};
  CallRequest Request = Operations[Operation].Request;
  Request.Call = CallId("c" + std::to_string(++NextNumber));
  const ProgramId Root = rootOf(Request.Program);
  if (To.Pending.count(Root) != 0)
    return;
  const ProgramTree &Now = To.Families[Root];
  const CallDecision Decision = decideCall(Now, Request, 0);
  Work.Program = Request.Program;
  if (const auto *Stored = std::get_if<StoredAnswer>(&Decision)) {
    ++Seen.Stored;
    return tell(Work, Stored->Answer);
  }
  if (const auto *Join = std::get_if<JoinCall>(&Decision)) {
    ++Seen.Joined;
    Work.At = Stage::Joined;
    Work.Sent.Call = Join->Call;
  } else if (const auto *Start = std::get_if<StartCall>(&Decision);
             Start && To.Mine.Copies.size() >= 2) {
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
    if (Refused && Refused->Why.Proof == NotRun::Unproved)
      return;
    // Too few copies refuse a retry too, which says nothing of what ran.
    if (Start && Start->Attempt > 1)
      return;
    Work.At = Stage::Confirming;
  }
  To.Jobs[++NextNumber] = Work;
}

void World::applied(Owner &O, const Record &Entry) {
  ProgramTree &Now = O.Families[rootOf(Entry.Program)];
  const Expected<void> Applied = applyRecord(Now, Entry);
  require(Applied.has_value(),
          "an accepted record is refused: " +
              (Applied ? std::string() : Applied.error().Message));
  checkFamily(Now);
  if (const auto *Sent = std::get_if<Intent>(&Entry.Body))
    for (auto &[Number, Work] : O.Jobs)
      if (Work.At == Stage::Appending && Work.Sent == *Sent)
        Work.At = Stage::Ready;
  const auto *Done = std::get_if<AttemptResult>(&Entry.Body);
  if (!Applied || !Done)
    return;
  const AttemptResult Answer =
      answerFor(Now.Programs.at(Entry.Program).Calls.at(Done->Call));
  for (auto Each = O.Jobs.begin(); Each != O.Jobs.end();) {
    const Job Work = Each->second;
    const bool Answered = Work.Sent.Call == Done->Call;
    Each = Answered ? O.Jobs.erase(Each) : std::next(Each);
    if (Answered)
      tell(Work, Answer);
  }
}

void World::workOn(Owner &O, unsigned Number) {
  switch (O.Jobs.at(Number).At) {
  case Stage::Ready:
    return sendOut(O, Number);
  case Stage::Sent:
    return askEndpoint(O, Number);
  case Stage::Confirming:
    return confirm(O, Number);
  case Stage::Appending:
  case Stage::Recording:
  case Stage::Joined:
    return;
  }
}

void World::sendOut(Owner &O, unsigned Number) {
  Job &Work = O.Jobs.at(Number);
  Work.At = Stage::Sent;
  Bag.push_back([this, &O, Number, Term = O.Term, Work](bool AnswerLost) {
    if (Work.Sent.EndpointIncarnation != Endpoint)
      return;
    const auto Key = std::pair(Work.Sent.Call, Work.Sent.Attempt);
    if (Attempts.count(Key) == 0)
      Attempts[Key] = execute(Work.Program, Work.Sent);
    if (!AnswerLost && O.Term == Term && Attempts[Key])
      answered(O, Number, *Attempts[Key]);
  });
}

/// Asks what became of an attempt; one that never came is void from then on.
void World::askEndpoint(Owner &O, unsigned Number) {
  const Job Work = O.Jobs.at(Number);
  Bag.push_back([this, &O, Number, Term = O.Term, Work](bool AnswerLost) {
    const auto Key = std::pair(Work.Sent.Call, Work.Sent.Attempt);
    AttemptResult Answer{Key.first, Key.second, Outcome::Unknown, "", "", 0};
    if (Work.Sent.EndpointIncarnation == Endpoint) {
      Seen.Voided += Attempts.count(Key) == 0 ? 1 : 0;
      const std::optional<AttemptResult> Known = Attempts[Key];
      Answer.How = Outcome::NotRun;
      Answer = Known.value_or(Answer);
    }
    if (!AnswerLost && O.Term == Term)
      answered(O, Number, Answer);
  });
}

void World::answered(Owner &O, unsigned Number, AttemptResult Answer) {
  const auto Found = O.Jobs.find(Number);
  if (Found == O.Jobs.end() || Found->second.At != Stage::Sent)
    return;
  Found->second.At = Stage::Recording;
  const ProgramId &Program = Found->second.Program;
  O.Pending[rootOf(Program)].Records.push_back({Program, Answer});
}

/// Tells "not run" once every copy has confirmed that the owner still is one.
void World::confirm(Owner &O, unsigned Number) {
  const Epoch At = O.Mine.Version;
  for (const CopyLocation &Place : O.Mine.Copies) {
    const FolderId By = Place.Folder;
    send(
        O, By, [At](ShardCopy &Held) { return checkSealedEpoch(Held, At); },
        [this, &O, Number, By](const ShardCopy &) {
          const auto Found = O.Jobs.find(Number);
          if (Found == O.Jobs.end())
            return;
          Found->second.Confirmed.insert(By);
          for (const CopyLocation &Each : O.Mine.Copies)
            if (Found->second.Confirmed.count(Each.Folder) == 0)
              return;
          const Job Work = Found->second;
          O.Jobs.erase(Found);
          tellNotRun(Work);
        });
  }
}

} // namespace tamarack::test
