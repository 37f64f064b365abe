#include "tamarack/ledger/Records.h"

namespace tamarack {

namespace {

/// Writes the body of a record under the stored name of its kind.
struct BodyWriter {
  Json &Value;

  void operator()(const ProgramStart &Body) const { Value["Begun"] = Body; }
  void operator()(const Intent &Body) const { Value["Intent"] = Body; }
  void operator()(const AttemptResult &Body) const { Value["Result"] = Body; }
  void operator()(const ProgramEnd &Body) const { Value["Ended"] = Body; }
};

/// Prints the body of a record without its payload.
struct BodyPrinter {
  std::ostream &Out;

  void operator()(const ProgramStart &Body) const {
    Out << "program start, budget " << Body.Budget;
  }
  void operator()(const Intent &Body) const {
    Out << "intent of call " << Body.Call << " attempt " << Body.Attempt
        << " sequence " << Body.Sequence << " reserving " << Body.Reserved;
  }
  void operator()(const AttemptResult &Body) const {
    Out << "result of call " << Body.Call << " attempt " << Body.Attempt << ' '
        << Body.How << " using " << Body.Used;
  }
  void operator()(const ProgramEnd &Body) const {
    Out << "program end, reason " << Body.Reason;
  }
};

} // namespace

void to_json(Json &Value, const AttemptResult &From) {
  Value = Json{{"Call", From.Call},
               {"Attempt", From.Attempt},
               {"How", From.How},
               {"Answer", From.Answer},
               {"Used", From.Used}};
  const std::size_t Offset = From.Answer.find(From.AnswerMessage);
  if (Offset == std::string::npos)
    Value["AnswerMessage"] = From.AnswerMessage;
  else
    Value["MessageAt"] = {Offset, From.AnswerMessage.size()};
}

void from_json(const Json &Value, AttemptResult &To) {
  Value.at("Call").get_to(To.Call);
  Value.at("Attempt").get_to(To.Attempt);
  Value.at("How").get_to(To.How);
  Value.at("Answer").get_to(To.Answer);
  Value.at("Used").get_to(To.Used);
  using OffsetAndLength = std::pair<std::size_t, std::size_t>;
  const auto [Offset, Length] = Value.value("MessageAt", OffsetAndLength(1, 0));
  // A range outside of the answer counts as a missing message.
  const bool IsInside =
      Offset <= To.Answer.size() && Length <= To.Answer.size() - Offset;
  if (Value.contains("MessageAt") && IsInside)
    To.AnswerMessage = To.Answer.substr(Offset, Length);
  else
    Value.at("AnswerMessage").get_to(To.AnswerMessage);
}

void to_json(Json &Value, const Record &From) {
  Value = Json::object();
  Value["Program"] = From.Program;
  std::visit(BodyWriter{Value}, From.Body);
}

void from_json(const Json &Value, Record &To) {
  Value.at("Program").get_to(To.Program);
  if (Value.contains("Begun"))
    To.Body = Value.at("Begun").get<ProgramStart>();
  else if (Value.contains("Intent"))
    To.Body = Value.at("Intent").get<Intent>();
  else if (Value.contains("Result"))
    To.Body = Value.at("Result").get<AttemptResult>();
  else
    To.Body = Value.at("Ended").get<ProgramEnd>();
}

std::vector<std::uint8_t> encodeRecord(const Record &Entry) {
  return Json::to_cbor(Json(Entry));
}

Expected<Record> decodeRecord(const std::vector<std::uint8_t> &Bytes) {
  try {
    return Json::from_cbor(Bytes).get<Record>();
  } catch (const Json::exception &Failure) {
    return refuse(ErrorKind::MalformedRequest, Failure.what());
  }
}

std::ostream &operator<<(std::ostream &Out, Outcome How) {
  return Out << Json(How).get<std::string>();
}

std::ostream &operator<<(std::ostream &Out, EndReason Reason) {
  return Out << Json(Reason).get<std::string>();
}

std::ostream &operator<<(std::ostream &Out, const Record &Entry) {
  Out << Entry.Program << ": ";
  std::visit(BodyPrinter{Out}, Entry.Body);
  return Out;
}

} // namespace tamarack
