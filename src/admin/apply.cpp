#include "cassiashed/admin/apply.h"

#include "admin/file.h"
#include "admin/publish_report.h"
#include "cassiashed/admin/exit_code.h"
#include "cassiashed/config/deployment.h"

namespace cassiashed::admin {

int applyDeployment(const ApplyOptions &Options, TableService &Table,
                    ObjectStore &Objects, std::ostream &Out,
                    std::ostream &Errors) {
  auto Text = readTextFile(Options.File, Errors);
  if (!Text)
    return ExitFailed;
  Problems Found;
  const auto Config = parseDeployment(*Text, Options.File, Found);
  if (!Config) {
    printProblems(std::move(Found), Errors);
    return ExitFailed;
  }
  const PublishRequest Request{std::move(*Text), Config->Replaces,
                               makeApplyId(),    Options.Author,
                               Config->Note,     formatUtcNow()};
  return reportPublication(
      Request, publishConfig(Table, Objects, Request, Options.Publish), Out,
      Errors);
}

} // namespace cassiashed::admin
