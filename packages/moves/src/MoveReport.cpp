#include "carobpath/moves/MoveReport.h"

#include "carobpath/foundation/EnumTable.h"
#include "carobpath/publication/EnumText.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <ctime>

namespace carobpath::moves {

namespace {

    using nlohmann::json;

    constexpr std::array<EnumRow<MoveState>, 4> states { {
        { MoveState::InProgress, "in-progress" },
        { MoveState::Done, "done" },
        { MoveState::TakenBack, "taken-back" },
        { MoveState::Withdrawn, "withdrawn" },
    } };

    constexpr std::array<EnumRow<NextStep>, 4> steps { {
        { NextStep::None, "none" },
        { NextStep::Start, "start" },
        { NextStep::Raise, "raise" },
        { NextStep::Verdict, "verdict" },
    } };

    constexpr std::array<EnumRow<WaitReason>, 8> waits { {
        { WaitReason::None, "none" },
        { WaitReason::NotStarted, "not-started" },
        { WaitReason::PlannedTime, "planned-time" },
        { WaitReason::ThinEvidence, "thin-evidence" },
        { WaitReason::Refusals, "refusals" },
        { WaitReason::Doubt, "doubt" },
        { WaitReason::Cautious, "cautious" },
        { WaitReason::AwaitingRecord, "awaiting-record" },
    } };

    std::string timeText(WallTime time)
    {
        const auto millis = time.time_since_epoch().count();
        const auto seconds = static_cast<std::time_t>(millis / 1000);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> date {};
        std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::array<char, 48> buf {};
        std::snprintf(buf.data(), buf.size(), "%s.%03dZ", date.data(), static_cast<int>(millis % 1000));
        return buf.data();
    }

    std::optional<std::chrono::microseconds> quantile(const EvidenceCounts& counts, double part)
    {
        std::uint64_t calls = 0;
        for (const auto count : counts.latency)
            calls += count;
        if (calls == 0)
            return std::nullopt;
        const auto rank = part * static_cast<double>(calls);
        std::uint64_t below = 0;
        for (std::size_t i = 0; i < latencyClasses; ++i) {
            below += counts.latency[i];
            if (static_cast<double>(below) >= rank)
                return latencyClassBound(i);
        }
        return latencyClassBound(latencyClasses - 1);
    }

    json millisOrNull(const std::optional<std::chrono::microseconds>& it)
    {
        return it ? json(std::chrono::duration<double, std::milli>(*it).count()) : json(nullptr);
    }

    json toObject(const VersionFigures& it)
    {
        return { { "calls", it.calls }, { "failed", it.failed }, { "refused", it.refused }, { "errorRate", it.errorRate },
            { "latencyP50Ms", millisOrNull(it.latencyP50) }, { "latencyP99Ms", millisOrNull(it.latencyP99) } };
    }

    json toObject(const RouteReport& it)
    {
        return { { "route", it.route.value() }, { "from", toObject(it.from) }, { "to", toObject(it.to) },
            { "stageCalls", it.progress.calls }, { "stageCallsNeeded", it.progress.callsNeeded }, { "wait", toString(it.progress.wait) },
            { "failedEvidence", it.failedEvidence }, { "slowEvidence", it.slowEvidence } };
    }

    json toObject(const publication::MoveVerdict& it)
    {
        return { { "outcome", publication::toString(it.outcome) }, { "reason", publication::toString(it.reason) },
            { "route", it.route.value() }, { "evidence", it.evidence } };
    }

}

std::string_view toString(MoveState it) { return enumText(states, it); }
std::string_view toString(NextStep it) { return enumText(steps, it); }
std::string_view toString(WaitReason it) { return enumText(waits, it); }

VersionFigures figuresOf(const EvidenceCounts& counts)
{
    VersionFigures it;
    it.calls = counts.answered();
    it.failed = counts.failed;
    it.refused = counts.refused;
    it.errorRate = frequencyOf(counts, RegressionKind::Failed, latencyClasses).rate();
    it.latencyP50 = quantile(counts, 0.5);
    it.latencyP99 = quantile(counts, 0.99);
    return it;
}

std::string toJson(const MoveReport& report)
{
    json it {
        { "move", report.id.name.value() },
        { "publishedAt", report.id.publishedAt },
        { "service", report.service.value() },
        { "from", report.from.value() },
        { "to", report.to.value() },
        { "startAt", timeText(report.startAt) },
        { "deadline", timeText(report.deadline) },
        { "state", toString(report.state) },
        { "recorded", report.isRecorded },
        { "verdict", report.verdict ? toObject(*report.verdict) : json(nullptr) },
        { "share", report.share },
        { "stage", report.stage },
        { "stages", report.stages },
        { "wait", toString(report.wait) },
        { "waitRoute", report.waitRoute.value() },
        { "nextStep", toString(report.nextStep) },
        { "nextStepAt", report.nextStepAt ? json(timeText(*report.nextStepAt)) : json(nullptr) },
        { "bound", report.bound },
        { "routes", json::array() },
    };
    for (const auto& route : report.routes)
        it["routes"].push_back(toObject(route));
    return it.dump();
}

}
