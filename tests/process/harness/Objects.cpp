#include "Objects.h"

namespace carobpath::harness::objects {

std::string booking()
{
    return R"(services:
  - {name: booking, initial-version: booking-1, hosts: [booking.petra.example]}
versions:
  - {name: booking-1, service: booking}
  - {name: booking-2, service: booking}
routes:
  - {name: browse, service: booking, path-prefix: /, methods: [GET], repeatability: repeatable, timeout: 5s}
  - {name: book, service: booking, path-prefix: /booking, methods: [POST], repeatability: not-repeatable, timeout: 5s}
  - {name: reports, service: booking, path-prefix: /reports, methods: [GET], repeatability: repeatable, traffic-class: download, timeout: 60s}
)";
}

std::string bookingMove(const std::string& name, const std::string& to, const std::string& start, const std::string& deadline, const std::string& onThinEvidence)
{
    return "moves:\n  - {name: " + name + ", service: booking, to: " + to + ", start-at: " + start + ", deadline: " + deadline + ", on-thin-evidence: " + onThinEvidence + "}\n";
}

std::string bookingVersion(const std::string& name)
{
    return "versions:\n  - {name: " + name + ", service: booking}\n";
}

}
