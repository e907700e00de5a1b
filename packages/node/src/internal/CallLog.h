#pragma once

#include "carobpath/foundation/EventLog.h"
#include "carobpath/gateway/GatewayHooks.h"

namespace carobpath::node::Detail {

/// Writes one line of the time line for each decision about a call, under the call's id; docs/LOGS.md has the fields.
class CallLog {
public:
    explicit CallLog(EventLog& events)
        : m_events(events)
    {
    }

    void onCall(const gateway::CallObservation&);
    void onAttempt(const gateway::AttemptObservation&);
    void onAdmissionRefused(const gateway::AdmissionRefusal&);
    void onBackend(const gateway::BackendObservation&);

private:
    EventLog& m_events;
};

}
