#include "marigoldyard/coordination/admission.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

TimePoint at(double Seconds) {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds)));
}

} // namespace

TEST_CASE(
    "a caller gets its burst, then its rate, and is told when to return") {
  BucketTable Table = makeBucketTable(8);
  Caller Customer{.Name = "c", .RequestsPerSecond = 2.0, .Burst = 3.0};
  for (int I = 0; I < 3; ++I)
    CHECK(admitCaller(Table, "p", Customer, at(0)).Admitted);
  AdmissionDecision Refused = admitCaller(Table, "p", Customer, at(0));
  CHECK_FALSE(Refused.Admitted);
  CHECK(Refused.RetryAfter == std::chrono::milliseconds(500));
  CHECK(admitCaller(Table, "other", Customer, at(0)).Admitted);
  CHECK(admitCaller(Table, "p", Customer, at(0.5)).Admitted);
}

TEST_CASE("an offender regains no failed authentications by a flood of fresh "
          "addresses or by resting during it") {
  FailedAuthentications Failures;
  Failures.Table = makeBucketTable(64);
  int Admitted = 0;
  for (int I = 0; I < 100; ++I) {
    for (; admitAuthentication(Failures, "offender", at(0)).Admitted;
         ++Admitted)
      recordFailedAuthentication(Failures, "offender", at(0));
    for (int J = 0; J < 100; ++J)
      recordFailedAuthentication(
          Failures, std::to_string(I) + "." + std::to_string(J), at(0));
  }
  CHECK(Admitted == 10);
  CHECK(Failures.Table.Entries.size() <= 64);
  CHECK(Failures.Table.Order.size() == Failures.Table.Entries.size());
}

TEST_CASE("work that cannot meet its deadline is shed, and work of unknown "
          "cost is not") {
  QueueEstimate Estimate{900, 1000.0, 100};
  CHECK(admitByDeadline(Estimate, std::chrono::seconds(1)).Admitted);
  AdmissionDecision Shed =
      admitByDeadline(Estimate, std::chrono::milliseconds(400));
  CHECK_FALSE(Shed.Admitted);
  CHECK(Shed.RetryAfter == std::chrono::milliseconds(600));
  CHECK(admitByDeadline({900, 0.0, 100}, std::chrono::seconds(1)).Admitted);
  CHECK_FALSE(admitByDeadline({0, 0.0, 0}, Duration(0)).Admitted);
}
