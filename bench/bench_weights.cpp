#include "tests/src/weight_network.hpp"

#include <chrono>
#include <cstdio>

using namespace marigoldyard;
using marigoldyard::testing::NetworkOptions;
using marigoldyard::testing::WeightNetwork;

int main(int Argc, char **Argv) {
  NetworkOptions Options;
  Options.Replicas = Argc > 1 ? std::stoul(Argv[1]) : 3;
  Options.Regions = Argc > 2 ? std::stoul(Argv[2]) : 1;
  Options.DirectImport = Argc > 3;
  WeightNetwork Net(Options);
  Net.publishMembers();
  Net.publish(Net.makeVersion("one", 0));
  const TimePoint Start = Net.Now;
  const auto Wall = std::chrono::steady_clock::now();
  if (getenv("TRACE"))
    for (int T = 10; T < 300; T += 20)
      Net.at(Start + std::chrono::seconds(T), [&, T] {
        std::printf(
            "t=%d link01=%.2f link02=%.2f l12=%.2f l21=%.2f store=%.2f |", T,
            Net.LinkBytes[0][1] / 5e8, Net.LinkBytes[0][2] / 5e8,
            Net.LinkBytes[1][2] / 5e8, Net.LinkBytes[2][1] / 5e8,
            Net.originCopies());
        for (auto &N : Net.Nodes) {
          size_t F = N->State.Flights.size();
          auto V = N->State.Versions.begin()->second;
          std::printf(" %zu:%zu/%zu/%zu", N->Region, V.Missing, F,
                      N->State.Uploads.size());
        }
        std::printf("\n");
      });
  const bool Done = Net.run(Start + std::chrono::hours(1));
  const double Real =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Wall)
          .count();
  const double Time = std::chrono::duration<double>(Net.Now - Start).count();
  std::printf("N=%zu R=%zu done=%d time=%.1f limit=%.1f ratio=%.2f origin=%.2f "
              "maps=%.1f KB/s/node plans=%lu wall=%.1f\n",
              Options.Replicas, Options.Regions, Done, Time,
              Net.physicalLimit(), Time / Net.physicalLimit(),
              Net.originCopies(),
              double(Net.MapBytes) / 1000 / Time / double(Options.Replicas),
              (unsigned long)Net.Plans, Real);
  for (auto &Row : Net.LinkBytes) {
    for (auto B : Row)
      std::printf("%.2f ", double(B) / 5e8);
    std::printf("\n");
  }
}
