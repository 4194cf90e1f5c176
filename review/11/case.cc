// A planned replacement of a control machine, followed by the loss of the disk
// of another one.
#include "../standin3.h"

using namespace review3;

int main() {
  const bool trouble = Trouble();
  // How long after the end of core-1 core-2 loses its disk.
  const char* loss = std::getenv("LOSS_AFTER_MS");
  const std::int64_t loss_after_ms = loss == nullptr ? 1000 : std::atoi(loss);
  Site site({"z1", "z2", "z3"}, 770);
  std::vector<Machine> m(6);
  const std::vector<std::string> seeds = {site.Address(1), site.Address(2),
                                          site.Address(3)};
  for (int n = 0; n < 6; ++n) {
    m[n].is_control = n < 4;
    m[n].name = (n < 4 ? "core-" : "front-") + std::to_string(n + 1);
    m[n].zone = site.zones[n % 3];
    m[n].ip = site.Address(n + 1);
    m[n].seeds = seeds;
  }
  Machine &a = m[0], &b = m[1], &c = m[2], &d = m[3];
  d.zone = a.zone;
  for (Machine* it : {&a, &b, &c}) {
    site.Start(*it, true);
  }
  site.Start(m[4], false);
  site.Start(m[5], false);
  const std::vector<Route> routes = {{"r-1", "198.18.0.1", "records", 8443}};
  const auto manifest = [&](std::uint64_t version, int timeout_ms) {
    return ManifestText(version, routes, {"records"}, timeout_ms);
  };
  if (!Replace(site, {&a, &b, &c}, manifest(7, 500), 10000)) {
    Finish(kCouldNotRun, "the first manifest was not acknowledged");
  }
  Record("manifest 7 is acknowledged");
  SleepMs(4000);

  site.Start(d, false);
  const std::int64_t d_started = NowMs();
  Record("planned: core-4 starts, empty, at a new address");
  SleepMs(5000);  // catch_up_s is 4.
  int status = 0;
  Record("core-4 answers a read with version %llu",
         static_cast<unsigned long long>(ReadVersion(site, d, &status)));
  site.Signal(a, SIGTERM);
  Record("planned: SIGTERM to core-1, %.1f s after the start of core-4",
         static_cast<double>(NowMs() - d_started) / 1000);
  if (!site.WaitForExit(a, 6000)) {  // grace_s
    site.Signal(a, SIGKILL);
    site.WaitForExit(a, 1000);
  }
  const std::int64_t a_ended = NowMs();
  site.LoseDisk(a);
  Record("core-1 has ended and never comes back");
  if (!Replace(site, {&b, &c, &d}, manifest(12, 600), 5000)) {
    Finish(kCouldNotRun, "the second manifest was not acknowledged");
  }
  Record("manifest 12 is acknowledged, %.2f s after the end of core-1",
         static_cast<double>(NowMs() - a_ended) / 1000);

  if (trouble) {
    SleepMs(std::max<std::int64_t>(0, a_ended + loss_after_ms - NowMs()));
    site.Signal(b, SIGKILL);
    site.WaitForExit(b, 1000);
    site.LoseDisk(b);
    Record("disruption: core-2 loses its disk, %.2f s after the end of core-1",
           static_cast<double>(NowMs() - a_ended) / 1000);
    SleepMs(1000);
    site.Start(b, false);
    Record("core-2 is back at its address with an empty disk");
  }
  // Far more than recovery_s (12), max_stretch_ms (12,000) and ack_timeout_ms.
  const std::int64_t back = NowMs();
  std::int64_t last_good = -1;
  while (NowMs() < back + 45000) {
    for (Machine* it : {&b, &c, &d}) {
      const std::uint64_t version = ReadVersion(site, *it, &status);
      Record("operator: read at %s -> %d, version %llu", it->name.c_str(),
             status, static_cast<unsigned long long>(version));
      if (version >= 12) {
        last_good = NowMs();
      }
    }
    if (last_good > back && NowMs() > back + 25000 && !trouble) {
      break;
    }
    SleepMs(500);
  }
  const bool readable = last_good > NowMs() - 20000;
  const bool writable = Replace(site, {&b, &c, &d}, manifest(15, 700), 8000);
  Record("manifest 15: %s", writable ? "acknowledged" : "not acknowledged");
  Finish(readable ? kHeld : kBroken,
         readable ? "the acknowledged manifest is read back"
                  : "the acknowledged manifest does not come back");
}
