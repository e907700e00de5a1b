#include "moves/Summary.h"

#include "moves/Policy.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;
    using publication::MoveOutcome;

    double ratio(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

    std::string percent(std::size_t part, std::size_t whole)
    {
        if (whole == 0)
            return "-";
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%.1f", 100 * ratio(static_cast<double>(part), static_cast<double>(whole)));
        return buf.data();
    }

    const char* nameOf(PolicyKind policy)
    {
        return policy == PolicyKind::Ours ? "ours" : "fixed-step";
    }

}

Summary summarize(std::string caseName, std::string member, PolicyKind policy, const std::vector<RunResult>& results)
{
    Summary it;
    it.caseName = std::move(caseName);
    it.member = std::move(member);
    it.policy = policy;
    it.runs = results.size();
    std::vector<milliseconds> delays;
    double calls = 0;
    double harmed = 0;
    double bytes = 0;
    double seconds = 0;
    double appends = 0;
    for (const auto& run : results) {
        calls += static_cast<double>(run.calls);
        harmed += static_cast<double>(run.harmed);
        bytes += static_cast<double>(run.controlBytes);
        seconds += std::chrono::duration<double>(run.length).count();
        appends += static_cast<double>(run.appends);
        it.withdrawn += run.isWithdrawn ? 1 : 0;
        if (run.isGood) {
            ++it.good;
            it.done += run.outcome == MoveOutcome::Done ? 1 : 0;
            it.doneInTime += run.outcome == MoveOutcome::Done && run.isInTime ? 1 : 0;
            continue;
        }
        ++it.bad;
        it.takenBack += run.outcome == MoveOutcome::TakenBack ? 1 : 0;
        it.meanBadShare += run.largestBadShare;
        it.largestBadShare = std::max(it.largestBadShare, run.largestBadShare);
        if (run.foundDelay) {
            ++it.found;
            it.foundLate += *run.foundDelay > 1s ? 1 : 0;
            it.foundDelayMax = std::max(it.foundDelayMax, *run.foundDelay);
        }
        if (run.stopDelay) {
            delays.push_back(*run.stopDelay);
            it.stoppedLate += *run.stopDelay > 1s ? 1 : 0;
        }
    }
    it.stopped = delays.size();
    if (!delays.empty()) {
        std::sort(delays.begin(), delays.end());
        it.stopDelayP99 = delays[std::min(delays.size() - 1, delays.size() * 99 / 100)];
        it.stopDelayP50 = delays[delays.size() / 2];
    }
    it.harmedPart = ratio(harmed, calls);
    it.harmedPerMove = ratio(harmed, static_cast<double>(it.runs));
    it.meanBadShare = ratio(it.meanBadShare, static_cast<double>(it.bad));
    it.bytesPerNodeSecond = ratio(bytes, seconds * static_cast<double>(nodeCount));
    it.appendsPerMove = ratio(appends, static_cast<double>(it.runs));
    return it;
}

std::string tableHead()
{
    return "| case | member | policy | runs | good in time % | bad back % | withdrawn % | harmed/move | harmed % | stop p50 s | p99 s | >1 s % | found to stop max s | >1 s % | bad share mean | max | B/s/node | appends |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
}

std::string tableRow(const Summary& it)
{
    std::array<char, 400> buf {};
    std::snprintf(buf.data(), buf.size(), "| %s | %s | %s | %zu | %s | %s | %s | %.2f | %.4f | %.1f | %.1f | %s | %.1f | %s | %.3f | %.2f | %.0f | %.1f |",
        it.caseName.c_str(), it.member.c_str(), nameOf(it.policy), it.runs, percent(it.doneInTime, it.good).c_str(), percent(it.takenBack, it.bad).c_str(),
        percent(it.withdrawn, it.withdrawn > 0 ? it.runs : 0).c_str(), it.harmedPerMove, 100 * it.harmedPart,
        std::chrono::duration<double>(it.stopDelayP50).count(), std::chrono::duration<double>(it.stopDelayP99).count(),
        percent(it.stoppedLate, it.stopped).c_str(), std::chrono::duration<double>(it.foundDelayMax).count(),
        percent(it.foundLate, it.found).c_str(), it.meanBadShare, it.largestBadShare, it.bytesPerNodeSecond, it.appendsPerMove);
    return buf.data();
}

std::string toJson(const Summary& it)
{
    const nlohmann::json object {
        { "case", it.caseName }, { "member", it.member }, { "policy", nameOf(it.policy) }, { "runs", it.runs },
        { "good", it.good }, { "doneInTime", it.doneInTime }, { "done", it.done }, { "bad", it.bad }, { "takenBack", it.takenBack },
        { "withdrawn", it.withdrawn }, { "stopped", it.stopped }, { "stoppedLate", it.stoppedLate },
        { "stopDelayP99Ms", it.stopDelayP99.count() }, { "stopDelayP50Ms", it.stopDelayP50.count() }, { "found", it.found }, { "foundLate", it.foundLate }, { "foundDelayMaxMs", it.foundDelayMax.count() },
        { "harmedPart", it.harmedPart }, { "harmedPerMove", it.harmedPerMove },
        { "meanBadShare", it.meanBadShare }, { "largestBadShare", it.largestBadShare },
        { "bytesPerNodeSecond", it.bytesPerNodeSecond }, { "appendsPerMove", it.appendsPerMove }
    };
    return object.dump();
}

}
