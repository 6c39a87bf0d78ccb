#include "entry/AdvicePool.h"
#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** The service as this machine reaches it: it keeps all questions. */
class BusyAdvisor : public Advisor
{
public:
    void ask(const AdviceRequest &question, Callback callback) override
    {
        questions.emplace_back(question, std::move(callback));
    }

    std::vector<std::pair<AdviceRequest, Callback>> questions;
};

AdviceRequest questionOf(const std::string &job)
{
    AdviceRequest question;
    question.step.job = job;
    question.workers = { "w1" };
    question.expected = Milliseconds(50);
    question.timeout = Milliseconds(2000);
    return question;
}

struct Pool
{
    Pool()
        : listener(loop, HttpListenerLimits(), [this](const WebRequest &request, const HttpResponderPointer &responder) {
            const auto question = PeerCodec::readAdviceRequest(request);
            REQUIRE(question);
            ++asked;
            responder->reply(PeerCodec::adviceReply(
                { AdviceResult::Outcome::Answered, { { question->workers.front(), "ticket" } }, Milliseconds(2000) }));
        })
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    void runFor(Milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    BusyAdvisor local;
    HttpListener listener;
    int asked = 0;
};

// Nothing listens there.
const Address goneProcess { "127.0.0.1", 1 };

} // namespace

// Guards against questions that queue up behind one another at the owner when the processes that asked them have gone.
TEST_CASE("a question that fails at one process is asked from another one")
{
    Pool fixture;
    const Address helper { "127.0.0.1", fixture.listener.port() };
    AdvicePool pool(fixture.loop, &fixture.local, { "127.0.0.1", 2 }, [&] { return std::vector<Address> { goneProcess, helper }; });
    int answered = 0;
    for (const auto *job : { "a", "b", "c", "d" }) {
        pool.ask(questionOf(job), [&answered](const AdviceResult &result) {
            answered += result.outcome == AdviceResult::Outcome::Answered ? 1 : 0;
        });
    }
    fixture.runFor(Milliseconds(800));
    // One of them is under way at this machine, whose service does not answer.
    CHECK(fixture.local.questions.size() == 1);
    CHECK(answered == 3);
}

// Guards against questions that wait for a process to ask them: they hold room meanwhile.
TEST_CASE("the pool is free as long as there are processes that ask nothing")
{
    Pool fixture;
    AdvicePool pool(fixture.loop, &fixture.local, { "127.0.0.1", 2 }, [] { return std::vector<Address>(); });
    CHECK(pool.canSendNow(Milliseconds(50)));
    pool.ask(questionOf("a"), [](const AdviceResult &) {});
    CHECK_FALSE(pool.canSendNow(Milliseconds(50)));
    fixture.local.questions.front().second({ AdviceResult::Outcome::Answered, {}, Milliseconds(2000) });
    CHECK(pool.canSendNow(Milliseconds(50)));
}
