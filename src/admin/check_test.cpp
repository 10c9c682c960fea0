#include "cassiashed/admin/check.h"
#include "cassiashed/admin/exit_code.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace cassiashed::admin;

namespace {

const std::string ValidConfig =
    R"({"version":2,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/",
 "kind":"idempotent","timeoutMs":500,"targetLatencyMs":100,"service":"app"}],
 "services":[{"name":"app"}],
 "tenants":[{"name":"t","apiKeys":["abcdefghijklmnopqrst"]}]})";

std::string replaceOnce(std::string Text, const std::string &From,
                        const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

/// Runs the command on files with the given contents.
struct Console {
  std::filesystem::path Folder =
      std::filesystem::temp_directory_path() /
      ("cassiashed_check_" + std::to_string(getpid()));
  std::ostringstream Out;
  std::ostringstream Errors;

  Console() { std::filesystem::create_directories(Folder); }
  ~Console() { std::filesystem::remove_all(Folder); }

  std::string write(const char *Name, const std::string &Text) const {
    std::ofstream(Folder / Name) << Text;
    return (Folder / Name).string();
  }
  int check(const std::string &Text, const std::string &InForce = {},
            bool AsJson = false) {
    CheckOptions Options;
    Options.File = write("next", Text);
    if (!InForce.empty())
      Options.InForceFile = write("in-force", InForce);
    Options.AsJson = AsJson;
    Out.str("");
    Errors.str("");
    return checkFile(Options, Out, Errors);
  }
};

} // namespace

// Guards against a script that sends a configuration with an error because the
// exit code does not tell it.
TEST_CASE("the exit code tells errors from warnings") {
  Console Test;
  CHECK(Test.check(ValidConfig) == ExitSuccess);
  CHECK(Test.Errors.str().empty());
  CHECK(Test.check(replaceOnce(ValidConfig, "[{\"name\":\"app\"}",
                               "[{\"name\":\"app\"},{\"name\":\"idle\"}")) ==
        ExitWarnings);
  CHECK(Test.Errors.str().find("warning: services[1].name: no route names") !=
        std::string::npos);
  CHECK(Test.check(replaceOnce(ValidConfig, ":500", ":50")) == ExitFailed);
  CHECK(Test.Errors.str().find("error: routes[0].targetLatencyMs: the "
                               "objective of 100 ms is above the timeout of "
                               "50 ms [objective-above-timeout]") !=
        std::string::npos);
  CHECK(Test.check(replaceOnce(ValidConfig, "\"idempotent\"",
                               "\"non_idempotent\",\"maxAttempts\":2")) ==
        ExitSuccess);
  CHECK(Test.Errors.str().find("note: routes[0].maxAttempts: 2 attempts") !=
        std::string::npos);
  CHECK(Test.check("{") == ExitFailed);
  CHECK(Test.check(ValidConfig, "{}") == ExitFailed);
  CHECK(Test.Errors.str().find("in-force: error: version: is missing") !=
        std::string::npos);
}

TEST_CASE("differences from the version in force are shown, keys are not") {
  Console Test;
  const std::string Next = replaceOnce(replaceOnce(ValidConfig, ":500", ":700"),
                                       "abcdefgh", "zbcdefgh");
  CHECK(Test.check(Next, ValidConfig) == ExitFailed);
  CHECK(Test.Errors.str().find("error: version: version 2 is not above 2") !=
        std::string::npos);
  CHECK(Test.check(replaceOnce(Next, ":2,", ":3,"), ValidConfig) ==
        ExitSuccess);
  const std::string Text = Test.Out.str();
  CHECK(Text.find("changed route r\n  timeoutMs: 500 -> 700\n") !=
        std::string::npos);
  CHECK(Text.find("key abcd... removed\n  key zbcd... added\n") !=
        std::string::npos);
  CHECK(Text.find("2 entries differ from version 2") != std::string::npos);
  CHECK(Text.find("bcdefghijklmnop") == std::string::npos);
}

TEST_CASE("the result can be printed as JSON") {
  Console Test;
  CHECK(Test.check(replaceOnce(ValidConfig, ":500", ":50"), ValidConfig,
                   true) == ExitFailed);
  CHECK(Test.Errors.str().empty());
  const auto Result = nlohmann::json::parse(Test.Out.str());
  CHECK(Result["errors"] == 2);
  CHECK(Result["findings"][1]["kind"] == "objective-above-timeout");
  CHECK(Result["findings"][1]["place"] == "routes[0].targetLatencyMs");
  CHECK(Result["changes"][0]["entry"] == "route r");
  CHECK(Result["version_in_force"] == 2);
}

// Guards against a settings file that is checked as something else, and options
// that are silently ignored.
TEST_CASE("files with sections are checked as before") {
  Console Test;
  const std::string Deployment = "[deployment]\nreplaces = 0\n[zone a]\n"
                                 "region = r\n";
  CHECK(Test.check(Deployment) == ExitSuccess);
  CHECK(Test.Out.str().find("valid deployment") != std::string::npos);
  CHECK(Test.check(Deployment, ValidConfig) == ExitUsage);
  CHECK(Test.check("[other]\n") == ExitFailed);
  CHECK(Test.Errors.str().find("neither a settings file") != std::string::npos);
}
