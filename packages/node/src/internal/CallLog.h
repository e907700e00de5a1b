#pragma once

#include "carobpath/foundation/EventLog.h"
#include "carobpath/gateway/GatewayHooks.h"

#include <chrono>
#include <functional>
#include <optional>
#include <utility>

namespace carobpath::node::Detail {

/// \returns the time since this node last read the configuration at its source; nothing where that is not known.
using ConfigurationAge = std::function<std::optional<std::chrono::milliseconds>()>;

/// Writes one line of the time line for each decision about a call, under the call's id; docs/LOGS.md has the fields.
class CallLog {
public:
    explicit CallLog(EventLog& events)
        : m_events(events)
    {
    }

    /// Without a source, calls for which no route was found are written without the age.
    void setConfigurationAge(ConfigurationAge source) { m_configurationAge = std::move(source); }

    void onCall(const gateway::CallObservation&);
    void onAttempt(const gateway::AttemptObservation&);
    void onAdmissionRefused(const gateway::AdmissionRefusal&);
    void onBackend(const gateway::BackendObservation&);
    void onBackendReport(const gateway::BackendReportObservation&);

private:
    EventLog& m_events;
    ConfigurationAge m_configurationAge;
};

}
