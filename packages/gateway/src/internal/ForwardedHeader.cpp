#include "internal/ForwardedHeader.h"

#include "carobpath/foundation/RendezvousHash.h"
#include "carobpath/publication/EnumText.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace carobpath::gateway::Detail {

namespace {

    constexpr int hexBase = 16;
    constexpr std::uint32_t widestCall = 1000;
    constexpr std::size_t fingerprintDigits = 16;
    /// The admitting node gives up this much before the entry node, so that its typed answer still arrives.
    constexpr std::chrono::milliseconds answerMargin { 5 };
    constexpr std::chrono::milliseconds longestDeadline { 24 * 3600 * 1000 };

    template <typename Number>
    std::optional<Number> number(std::string_view text, int base)
    {
        Number value {};
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (ec != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    /// \returns the number in decimal notation; empty if the text is no number from 0 up.
    std::optional<double> decimal(std::string_view text)
    {
        double value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
        const bool isNumber = ec == std::errc {} && end == text.data() + text.size() && std::isfinite(value) && value >= 0;
        return isNumber ? std::optional { value } : std::nullopt;
    }

    std::string_view value(const http::fields& fields, std::string_view name)
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string_view {} : std::string_view { it->value() };
    }

    std::string rateText(double callsPerSecond)
    {
        std::ostringstream text;
        text << std::fixed << callsPerSecond;
        return text.str();
    }

    /// \returns the rate in "CALLS-PER-SECOND/MILLISECONDS"; empty where there is none.
    std::optional<routing::NamedRate> namedRateOf(const http::fields& fields)
    {
        const auto text = value(fields, HeaderName::rate);
        const auto slash = text.find('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        const auto callsPerSecond = decimal(text.substr(0, slash));
        const auto wait = number<std::int64_t>(text.substr(slash + 1), 10);
        if (!callsPerSecond || !wait || *wait < 0 || std::chrono::milliseconds { *wait } > longestDeadline)
            return std::nullopt;
        return routing::NamedRate { *callsPerSecond, std::chrono::milliseconds { *wait } };
    }

    std::string hex(std::uint64_t number)
    {
        std::string text(fingerprintDigits, '0');
        std::array<char, fingerprintDigits> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexBase).ptr;
        const auto n = static_cast<std::size_t>(end - digits.data());
        std::copy_n(digits.data(), n, text.data() + fingerprintDigits - n);
        return text;
    }

    std::string millisecondsLeft(MonotonicTime deadline, MonotonicTime now)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
        return std::to_string(std::max<std::int64_t>(0, left.count()));
    }

    std::string signedMilliseconds(MonotonicClock::duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    /// \returns the moment at which the answer is of full use no more; it may have passed.
    std::optional<MonotonicTime> objectiveOf(const http::fields& fields, MonotonicTime now)
    {
        const auto left = number<std::int64_t>(value(fields, HeaderName::objective), 10);
        if (!left || std::chrono::abs(std::chrono::milliseconds { *left }) > longestDeadline)
            return std::nullopt;
        return now + std::chrono::milliseconds { *left };
    }

    /// \returns the parts that the caller fetches at a time; 1 where it says nothing that makes sense.
    std::uint32_t widthOf(const http::fields& fields)
    {
        const auto width = number<std::uint32_t>(value(fields, HeaderName::width), 10);
        return width ? std::clamp<std::uint32_t>(*width, 1, widestCall) : 1;
    }

    bool isOwnField(std::string_view name)
    {
        const auto size = HeaderName::prefix.size();
        return name.size() >= size && boost::beast::iequals(name.substr(0, size), HeaderName::prefix);
    }

    void removeOwnFields(http::fields& fields)
    {
        std::vector<std::string> names;
        for (const auto& it : fields) {
            if (isOwnField(it.name_string()))
                names.emplace_back(it.name_string());
        }
        for (const auto& name : names)
            fields.erase(name);
    }

    /// \returns the parts of "A/B/C", where C may hold slashes; empty where there are fewer.
    std::optional<std::array<std::string_view, 3>> threeParts(std::string_view text)
    {
        const auto first = text.find('/');
        const auto second = first == std::string_view::npos ? first : text.find('/', first + 1);
        if (second == std::string_view::npos)
            return std::nullopt;
        return std::array { text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1) };
    }

    /// "INCARNATION/MILLISECONDS/NODE".
    std::string textOf(const routing::SendStamp& stamp)
    {
        return std::to_string(stamp.incarnation.value) + "/" + std::to_string(stamp.sentAt.count()) + "/" + stamp.node.value();
    }

    std::shared_ptr<Request> cleanCopy(const Request& request)
    {
        auto copy = std::make_shared<Request>(request);
        removeHopByHopFields(*copy);
        removeOwnFields(*copy);
        copy->version(11);
        copy->keep_alive(true);
        copy->prepare_payload();
        return copy;
    }

}

std::optional<routing::SendStamp> sendStampOf(const Request& request)
{
    const auto parts = threeParts(value(request, HeaderName::sentAt));
    if (!parts)
        return std::nullopt;
    const auto incarnation = number<std::uint64_t>(parts->at(0), 10);
    const auto sentAt = number<std::int64_t>(parts->at(1), 10);
    if (!incarnation || !sentAt)
        return std::nullopt;
    return routing::SendStamp { NodeName { std::string { parts->at(2) } }, Incarnation { *incarnation }, std::chrono::milliseconds { *sentAt } };
}

std::optional<std::chrono::milliseconds> milliseconds(const http::fields& fields, std::string_view name)
{
    const auto n = number<std::int64_t>(value(fields, name), 10);
    if (!n || *n < 0 || std::chrono::milliseconds { *n } > longestDeadline)
        return std::nullopt;
    return std::chrono::milliseconds { *n };
}

std::shared_ptr<const Request> forwardedRequest(const Request& request, const routing::CallRequest& call, const routing::SendAttempt& attempt, MonotonicTime now, const ForwardingStamp& stamp)
{
    auto copy = cleanCopy(request);
    copy->set(HeaderName::requestId, call.id.value());
    copy->set(HeaderName::route, attempt.route.value());
    copy->set(HeaderName::service, attempt.service.value());
    copy->set(HeaderName::version, attempt.version.value());
    copy->set(HeaderName::deadline, millisecondsLeft(attempt.deadline, now));
    if (attempt.objective)
        copy->set(HeaderName::objective, signedMilliseconds(*attempt.objective - now));
    if (attempt.priority > 0)
        copy->set(HeaderName::priority, std::to_string(attempt.priority));
    if (attempt.mayBeLate)
        copy->set(HeaderName::mayBeLate, "1");
    if (attempt.isInner)
        copy->set(HeaderName::innerCall, "1");
    if (attempt.knownCallsPerSecond)
        copy->set(HeaderName::knownRate, rateText(*attempt.knownCallsPerSecond));
    copy->set(HeaderName::fingerprint, hex(call.fingerprint));
    copy->set(HeaderName::width, std::to_string(widthOf(request)));
    copy->set(HeaderName::trafficClass, publication::toString(attempt.trafficClass));
    copy->set(HeaderName::repeatability, publication::toString(attempt.repeatability));
    if (!call.callerService.empty())
        copy->set(HeaderName::callerService, call.callerService.value());
    if (!attempt.workspace.empty())
        copy->set(HeaderName::workspace, attempt.workspace.value());
    copy->set(HeaderName::sentAt, textOf(stamp.sent));
    if (!stamp.hybridTime.empty())
        copy->set(HeaderName::hybridTime, stamp.hybridTime);
    return copy;
}

std::optional<routing::AdmissionRequest> admissionRequest(const Request& request, MonotonicTime now)
{
    routing::AdmissionRequest admission;
    admission.id = RequestId { std::string { value(request, HeaderName::requestId) } };
    admission.route = RouteName { std::string { value(request, HeaderName::route) } };
    admission.service = ServiceName { std::string { value(request, HeaderName::service) } };
    admission.version = VersionName { std::string { value(request, HeaderName::version) } };
    const auto timeLeft = milliseconds(request, HeaderName::deadline);
    const auto fingerprint = number<std::uint64_t>(value(request, HeaderName::fingerprint), hexBase);
    const auto trafficClass = publication::trafficClassFromString(value(request, HeaderName::trafficClass));
    const auto repeatability = publication::repeatabilityFromString(value(request, HeaderName::repeatability));
    const bool named = !admission.id.empty() && !admission.route.empty() && !admission.service.empty() && !admission.version.empty();
    if (!named || !timeLeft || !fingerprint || !trafficClass || !repeatability)
        return std::nullopt;
    admission.width = widthOf(request);
    admission.deadline = now + std::max(*timeLeft - answerMargin, *timeLeft / 2);
    admission.objective = objectiveOf(request, now);
    admission.priority = number<std::uint32_t>(value(request, HeaderName::priority), 10).value_or(0);
    admission.mayBeLate = request.count(HeaderName::mayBeLate) > 0;
    admission.isInner = request.count(HeaderName::innerCall) > 0;
    admission.knownCallsPerSecond = decimal(value(request, HeaderName::knownRate));
    admission.fingerprint = *fingerprint;
    admission.trafficClass = *trafficClass;
    admission.repeatability = *repeatability;
    return admission;
}

std::shared_ptr<const Request> backendRequest(const Request& request, const routing::AdmissionRequest& admission,
    const Dialect& dialect, const std::string& instance, MonotonicTime now)
{
    auto copy = cleanCopy(request);
    copy->set(dialect.backendRequestId, admission.id.value());
    copy->set(dialect.backendDeadline, millisecondsLeft(admission.deadline, now));
    if (!dialect.backendInstance.empty() && !instance.empty())
        copy->set(dialect.backendInstance, instance);
    const auto callerService = value(request, HeaderName::callerService);
    if (!dialect.callerService.empty() && !callerService.empty())
        copy->set(dialect.callerService, callerService);
    if (const auto workspace = value(request, HeaderName::workspace); !workspace.empty())
        copy->set(dialect.workspace, workspace);
    return copy;
}

std::optional<std::chrono::milliseconds> retryAfterOf(const ResponseHeader& header)
{
    if (const auto own = milliseconds(header, HeaderName::retryAfterMs))
        return own;
    const auto seconds = decimal(value(header, "Retry-After"));
    if (!seconds || std::chrono::duration<double> { *seconds } > longestDeadline)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double> { *seconds });
}

std::optional<routing::Outcome> outcomeOf(const ResponseHeader& header)
{
    return routing::outcomeFromString(value(header, HeaderName::outcome));
}

std::optional<routing::RefusalReason> reasonOf(const ResponseHeader& header)
{
    return routing::refusalReasonFromString(value(header, HeaderName::reason));
}

routing::BackendReport backendReportOf(const ResponseHeader& header, const Dialect& dialect)
{
    routing::BackendReport report;
    report.isLeaving = !dialect.backendLeaving.empty() && value(header, dialect.backendLeaving) == "1";
    if (header.count(dialect.backendRateLimit) == 0)
        return report;
    report.callsPerSecond = decimal(value(header, dialect.backendRateLimit));
    report.isLimitUnreadable = !report.callsPerSecond;
    return report;
}

void setLoad(ResponseHeader& header, const routing::UpstreamLoad& load)
{
    header.set(HeaderName::load, std::to_string(load.calls) + "/" + std::to_string(load.limit) + "/" + std::to_string(load.serviceTime.count()));
    header.erase(HeaderName::rate);
    if (load.rate)
        header.set(HeaderName::rate, rateText(load.rate->callsPerSecond) + "/" + std::to_string(load.rate->wait.count()));
}

std::optional<routing::UpstreamLoad> loadOf(const ResponseHeader& header)
{
    const auto parts = threeParts(value(header, HeaderName::load));
    if (!parts)
        return std::nullopt;
    const auto calls = number<std::uint32_t>(parts->at(0), 10);
    const auto limit = number<std::uint32_t>(parts->at(1), 10);
    const auto service = number<std::int64_t>(parts->at(2), 10);
    if (!calls || !limit || !service || *service < 0)
        return std::nullopt;
    return routing::UpstreamLoad { *calls, *limit, std::chrono::microseconds { *service }, namedRateOf(header) };
}

std::string_view hybridTimeOf(const http::fields& fields) { return value(fields, HeaderName::hybridTime); }

std::uint64_t fingerprintOf(const Request& request)
{
    std::string key { request.method_string() };
    key += ' ';
    key += value(request, "Host");
    key += ' ';
    key += request.target();
    RendezvousScorer hash(key);
    if (const auto& blocks = request.body().blocks()) {
        for (const auto& it : blocks->list)
            hash.append(it->text());
    }
    return hash.score();
}

}
