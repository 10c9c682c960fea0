#include "cassiashed/config/gateway_settings.h"

#include <doctest/doctest.h>

using namespace cassiashed;

namespace {

constexpr const char *Required = R"([gateway]
name = g1
zone = za
region = r
listen = 10.0.0.1:80
readiness = 10.0.0.1:81
internal = 10.0.0.1:82
[store]
address = 10.0.0.9:90
)";

std::optional<GatewaySettings> parse(const std::string &Duties,
                                     Problems &Errors) {
  return parseGatewaySettings(Required + Duties, "g.ini", Errors);
}

} // namespace

// Guards against duties where the platform has no API for them, and against
// settings that silently mean something else.
TEST_CASE("duties are carried out only where the settings name them") {
  Problems Errors;
  const auto Without = parse("", Errors);
  REQUIRE(Without);
  CHECK_FALSE(Without->Duties);
  const auto With = parse("[duties]\naddress = 10.0.0.8:9000\n"
                          "duties = scaling, something_new\n"
                          "lease_ms = 2000\nusage_window_s = 4\n",
                          Errors);
  REQUIRE(With);
  REQUIRE(With->Duties);
  CHECK(With->Duties->Carried.Scaling);
  CHECK_FALSE(With->Duties->Carried.UsageReporting);
  CHECK(With->Duties->Lease == Duration(2000));
  CHECK(With->Duties->UsageWindow == Duration(4000));
  for (const char *Wrong :
       {"[duties]\nduties = scaling\n", "[duties]\naddress = 10.0.0.8:9000\n",
        "[duties]\naddress = host:1\nduties = scaling\n",
        "[duties]\naddress = 10.0.0.8:1\nduties = scaling\nlease_ms = 0\n",
        "[duties]\naddress = 10.0.0.8:1\nduties = scaling\n"
        "usage_window_s = 0\n",
        "[duties]\naddress = 10.0.0.8:1\nduties = scaling\n"
        "calls_per_second = -1\n"}) {
    INFO(Wrong);
    CHECK_FALSE(parse(Wrong, Errors));
  }
}
