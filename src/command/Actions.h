#pragma once

#include <string>
#include <vector>

namespace hemlocklead {

/// Actions of the operator commands. Each parses its arguments, sends requests to an entry, prints the response and
/// returns an exit code of ExitCode.h.
int runCatalogueList(const std::vector<std::string>& arguments);
int runCatalogueShow(const std::vector<std::string>& arguments);
int runCatalogueSet(const std::vector<std::string>& arguments);
int runCatalogueExplain(const std::vector<std::string>& arguments);
int runCatalogueHistory(const std::vector<std::string>& arguments);
int runCatalogueGovern(const std::vector<std::string>& arguments);
int runDataCentreList(const std::vector<std::string>& arguments);
int runDataCentreOut(const std::vector<std::string>& arguments);
int runDataCentreIn(const std::vector<std::string>& arguments);
int runStatus(const std::vector<std::string>& arguments);
int runJobSubmit(const std::vector<std::string>& arguments);
int runJobShow(const std::vector<std::string>& arguments);
int runJobCancel(const std::vector<std::string>& arguments);
int runJobResult(const std::vector<std::string>& arguments);
int runJobList(const std::vector<std::string>& arguments);
int runJobWait(const std::vector<std::string>& arguments);

} // namespace hemlocklead
