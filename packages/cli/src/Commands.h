#pragma once
// Entry points of the commands in the command table. Internal to the package.

#include "CommandContext.h"

namespace daisydrift {

ExitCode RunTeamsExport(CommandContext& aContext);
ExitCode RunTeamsApply(CommandContext& aContext);
ExitCode RunTeamsDiff(CommandContext& aContext);
ExitCode RunKeysIssue(CommandContext& aContext);
ExitCode RunKeysList(CommandContext& aContext);
ExitCode RunKeysRevoke(CommandContext& aContext);
ExitCode RunDomainsPut(CommandContext& aContext);
ExitCode RunDomainsDrain(CommandContext& aContext);
ExitCode RunDomainsReturn(CommandContext& aContext);
ExitCode RunDomainsList(CommandContext& aContext);
ExitCode RunServicesPut(CommandContext& aContext);
ExitCode RunServicesList(CommandContext& aContext);
ExitCode RunSubmit(CommandContext& aContext);
ExitCode RunStatus(CommandContext& aContext);
ExitCode RunJobs(CommandContext& aContext);
ExitCode RunExplain(CommandContext& aContext);
ExitCode RunCancel(CommandContext& aContext);
ExitCode RunWatch(CommandContext& aContext);
ExitCode RunRequest(CommandContext& aContext);
ExitCode RunStatusFleet(CommandContext& aContext);
ExitCode RunQueue(CommandContext& aContext);
ExitCode RunAudit(CommandContext& aContext);
ExitCode RunAuditVerify(CommandContext& aContext);
ExitCode RunCheckSettings(CommandContext& aContext);
ExitCode RunTrace(CommandContext& aContext);
ExitCode RunCompletion(CommandContext& aContext);
ExitCode RunVersion(CommandContext& aContext);
ExitCode RunHelp(CommandContext& aContext);

} // namespace daisydrift
