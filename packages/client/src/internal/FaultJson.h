#pragma once

#include "carobpath/foundation/SettingsFault.h"
#include "carobpath/publication/ObjectFile.h"
#include "internal/Context.h"

namespace carobpath::client::Detail {

/// A fault in both forms of output.
struct ReportedFault {
    nlohmann::json json;
    std::string text;
};

using ReportedFaults = std::vector<ReportedFault>;

ReportedFault reported(const publication::ObjectFault&);
ReportedFault reported(const SettingsFault&);

template <typename Faults>
ReportedFaults reportedAll(const Faults& faults)
{
    ReportedFaults all;
    all.reserve(faults.size());
    for (const auto& it : faults)
        all.push_back(reported(it));
    return all;
}

/// Writes the faults: as JSON with the result on the output, or a line each on the error output.
/// \param extra further keys of the JSON object.
ExitCode reportFaults(const Context&, ExitCode, const std::string& result, const ReportedFaults&, nlohmann::json extra = nlohmann::json::object());

}
