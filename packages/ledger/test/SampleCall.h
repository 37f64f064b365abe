/// Records of a call of typical size, for tests and benchmarks of the log.
#ifndef TAMARACK_LEDGER_TEST_SAMPLECALL_H
#define TAMARACK_LEDGER_TEST_SAMPLECALL_H

#include "tamarack/ledger/Records.h"

namespace tamarack::test {

constexpr std::size_t QuestionBytes = 1000;
constexpr std::size_t AnswerBytes = 4000;
constexpr TokenCount SampleReserve = 1000;

inline Record sampleStart(const ProgramId &Program) {
  return {Program, ProgramStart{CustomerId("obrador-digital"),
                                WorkspaceId("matching"),
                                ModelId("asistente"),
                                "",
                                TokenCount(1) << 40U,
                                {1U << 30U, std::chrono::hours(1)},
                                0}};
}

inline CallId sampleCall(const ProgramId &Program, std::uint64_t Sequence) {
  return CallId(Program.text() + "#" + std::to_string(Sequence));
}

inline Record sampleIntent(const ProgramId &Program, std::uint64_t Sequence) {
  const Json Messages{
      {{"content", std::string(QuestionBytes, 'q')}, {"role", "user"}}};
  return {Program, Intent{sampleCall(Program, Sequence), Sequence,
                          "3f0c2f1e-9a3e-4c52-8d50-7f1f2a6b9c01",
                          "9f86d081884c7d659a2feaa0c55ad015", 1,
                          EndpointId("andes-a/asistente-07"), 1796342400, true,
                          SampleReserve, Messages.dump()}};
}

inline Record sampleResult(const ProgramId &Program, std::uint64_t Sequence) {
  const Json Message{{"content", std::string(AnswerBytes, 'a')},
                     {"role", "assistant"}};
  const Json Answer{
      {"choices", {{{"index", 0}, {"message", Message}}}},
      {"usage", {{"completion_tokens", 800}, {"prompt_tokens", 150}}}};
  return {Program,
          AttemptResult{sampleCall(Program, Sequence), 1, Outcome::Completed,
                        Answer.dump(), Message.dump(), SampleReserve - 50}};
}

/// The size of the call's payload in bytes: the new messages and the answer,
/// which contains the answer message.
inline std::size_t payloadOf(const Record &Sent, const Record &Done) {
  return std::get<Intent>(Sent.Body).NewMessages.size() +
         std::get<AttemptResult>(Done.Body).Answer.size();
}

} // namespace tamarack::test

#endif // TAMARACK_LEDGER_TEST_SAMPLECALL_H
