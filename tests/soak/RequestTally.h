#pragma once

#include "core/Clock.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** How the requests of clients with kept connections have ended. */
struct RequestTally
{
    /** The users' rule LOST counts a request from this age on (lossSlackMs). */
    static constexpr Milliseconds lossSlack { 200 };

    /** Answers by status. */
    std::map<int, int> answers;
    /** Answers after which the connection was to be closed. */
    int announcedCloses = 0;
    /** Connections that ended while no request was open on them, without an announcement. */
    int closedBetweenRequests = 0;
    /** Connections that could not be opened, and requests of which no byte could be sent. */
    int notSent = 0;
    /** Requests that were still open at the end of the test. */
    int unanswered = 0;
    /** Of each request whose connection ended before a complete answer, the time since it was sent. */
    std::vector<Milliseconds> cutAges;

    int answerCount() const
    {
        int count = 0;
        for (const auto &[status, answersOfStatus] : answers) {
            count += answersOfStatus;
        }
        return count;
    }

    /** One line with all counts, and the least, median and greatest age of a cut request. */
    std::string text() const
    {
        std::string line = std::to_string(answerCount()) + " answered (";
        for (const auto &[status, count] : answers) {
            line += " " + std::to_string(status) + ": " + std::to_string(count);
        }
        line += " ), " + std::to_string(announcedCloses) + " with an announced close, " + std::to_string(closedBetweenRequests)
                + " connections closed between requests, " + std::to_string(notSent) + " not sent, " + std::to_string(unanswered)
                + " unanswered, " + std::to_string(cutAges.size()) + " cut";
        if (!cutAges.empty()) {
            auto ages = cutAges;
            std::sort(ages.begin(), ages.end());
            line += " at an age of " + std::to_string(ages.front().count()) + " to " + std::to_string(ages.back().count())
                    + " ms, median " + std::to_string(ages[ages.size() / 2].count()) + ", "
                    + std::to_string(std::count_if(ages.begin(), ages.end(), [](auto age) { return age > lossSlack; }))
                    + " over the slack of the rule LOST";
        }
        return line;
    }
};

} // namespace auburndoor
