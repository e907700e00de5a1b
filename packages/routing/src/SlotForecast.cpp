#include "SlotForecast.h"

namespace carobpath::routing {

SlotForecast::SlotForecast(const std::vector<std::chrono::nanoseconds>& remaining, std::uint32_t slots)
    : m_freeIn({}, remaining)
{
    // When more calls are running than there are slots, the first ones to finish do not free a slot.
    while (m_freeIn.size() > slots)
        m_freeIn.pop();
    while (m_freeIn.size() < slots)
        m_freeIn.push({});
}

void SlotForecast::take(std::chrono::nanoseconds serviceTime)
{
    const auto freeAgain = m_freeIn.top() + serviceTime;
    m_freeIn.pop();
    m_freeIn.push(freeAgain);
}

}
