#include "carobpath/routing/AdmissionQueue.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    /// \returns whether the call has waited for at least half of the time from its arrival to its deadline.
    bool isOverdue(const AdmissionQueue::Waiting& it, MonotonicTime now)
    {
        return now - it.arrivedAt >= (it.request.deadline - it.arrivedAt) / 2;
    }

}

QueueClass queueClassOf(const AdmissionRequest& request)
{
    if (request.trafficClass == publication::TrafficClass::Download)
        return QueueClass::Download;
    return request.repeatability == publication::Repeatability::NotRepeatable ? QueueClass::NonRepeatable
                                                                              : QueueClass::Short;
}

bool isMoreUrgent(const AdmissionRequest& first, const AdmissionRequest& second, MonotonicTime now)
{
    const auto canMeetObjective = [now](const AdmissionRequest& it) { return it.objective && now < *it.objective && !it.mayBeLate; };
    if (canMeetObjective(first) != canMeetObjective(second))
        return canMeetObjective(first);
    if (!canMeetObjective(first))
        return false;
    if (first.priority != second.priority)
        return first.priority < second.priority;
    if (first.isInner != second.isInner)
        return first.isInner;
    return *first.objective < *second.objective;
}

std::vector<const AdmissionRequest*> AdmissionQueue::callsAhead(const AdmissionRequest& request, MonotonicTime now) const
{
    std::vector<const AdmissionRequest*> ahead;
    for (const auto& queue : m_classes) {
        for (const auto& it : queue) {
            if (!isMoreUrgent(request, it.request, now))
                ahead.push_back(&it.request);
        }
    }
    return ahead;
}

AdmissionRequest AdmissionQueue::extract(ClassQueue& queue, const ClassQueue::iterator& it)
{
    auto request = std::move(it->request);
    queue.erase(it);
    return request;
}

std::optional<AdmissionRequest> AdmissionQueue::popByObjective(const Fits& fits, MonotonicTime now)
{
    ClassQueue* chosenQueue = nullptr;
    ClassQueue::iterator chosen;
    for (auto& queue : m_classes) {
        for (auto it = queue.begin(); it != queue.end(); ++it) {
            if (!fits(it->request) || (chosenQueue && !isMoreUrgent(it->request, chosen->request, now)))
                continue;
            chosenQueue = &queue;
            chosen = it;
        }
    }
    return chosenQueue ? std::optional { extract(*chosenQueue, chosen) } : std::nullopt;
}

AdmissionQueue::ClassQueue& AdmissionQueue::queueOf(const AdmissionRequest& request)
{
    return m_order.byClass ? m_classes[static_cast<std::size_t>(queueClassOf(request))] : m_classes.front();
}

std::optional<AdmissionRequest> AdmissionQueue::push(const AdmissionRequest& request, MonotonicTime now)
{
    auto& queue = queueOf(request);
    std::optional<AdmissionRequest> displaced;
    if (size() >= s_maxWaiting) {
        const auto worst = std::find_if(
            m_classes.rbegin(), m_classes.rend(), [](const ClassQueue& it) { return !it.empty(); });
        if (&*worst <= &queue)
            return request;
        displaced = std::move(worst->back().request);
        worst->pop_back();
    }
    queue.push_back({ request, now });
    return displaced;
}

bool AdmissionQueue::isOverdueInClass(const Waiting& it, MonotonicTime now) const
{
    return isOverdue(it, now) || now - it.arrivedAt >= m_order.maxBypassTime;
}

AdmissionQueue::ClassQueue::iterator AdmissionQueue::nextOf(ClassQueue& queue, const Fits& fits, MonotonicTime now) const
{
    if (queue.empty())
        return queue.end();
    if (isOverdueInClass(queue.front(), now))
        return fits(queue.front().request) ? queue.begin() : queue.end();
    auto best = queue.end();
    for (auto it = queue.begin(); it != queue.end(); ++it) {
        const bool isNarrower = best != queue.end() && m_order.narrowFirst && it->request.width < best->request.width;
        if ((best == queue.end() || isNarrower) && fits(it->request))
            best = it;
    }
    return best;
}

std::optional<AdmissionRequest> AdmissionQueue::pop(const Fits& fits, MonotonicTime now)
{
    if (m_order.byObjective)
        return popByObjective(fits, now);
    ClassQueue* chosenQueue = nullptr;
    ClassQueue::iterator chosen;
    for (auto& queue : m_classes) {
        const auto it = nextOf(queue, fits, now);
        if (it == queue.end())
            continue;
        const bool isOverdueAndOlder = chosenQueue && isOverdue(*it, now) && it->arrivedAt < chosen->arrivedAt;
        if (chosenQueue && !isOverdueAndOlder)
            continue;
        chosenQueue = &queue;
        chosen = it;
    }
    return chosenQueue ? std::optional { extract(*chosenQueue, chosen) } : std::nullopt;
}

bool AdmissionQueue::remove(const RequestId& id)
{
    for (auto& queue : m_classes) {
        if (std::erase_if(queue, [&](const Waiting& it) { return it.request.id == id; }) > 0)
            return true;
    }
    return false;
}

std::vector<AdmissionRequest> AdmissionQueue::removeExpired(MonotonicTime now)
{
    return removeIf([now](const Waiting& it) { return now >= it.request.deadline; });
}

std::vector<AdmissionRequest> AdmissionQueue::removeIf(const std::function<bool(const Waiting&)>& matches)
{
    std::vector<AdmissionRequest> removed;
    for (auto& queue : m_classes) {
        std::erase_if(queue, [&](const Waiting& it) {
            if (!matches(it))
                return false;
            removed.push_back(it.request);
            return true;
        });
    }
    return removed;
}

std::vector<AdmissionRequest> AdmissionQueue::removeAll()
{
    std::vector<AdmissionRequest> removed;
    for (auto& queue : m_classes) {
        for (const auto& it : queue)
            removed.push_back(it.request);
        queue.clear();
    }
    return removed;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t all = 0;
    for (const auto& queue : m_classes)
        all += queue.size();
    return all;
}

std::optional<MonotonicTime> AdmissionQueue::earliestDeadline() const
{
    std::optional<MonotonicTime> earliest;
    for (const auto& queue : m_classes) {
        for (const auto& it : queue)
            earliest = std::min(earliest.value_or(it.request.deadline), it.request.deadline);
    }
    return earliest;
}

}
