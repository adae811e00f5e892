// One tenant sends many times its usual, so that requests of its HEAD callers
// are refused on kept channels.
#include "lab.hh"

using namespace lab;

namespace
{

constexpr int hosts_count = 2;
constexpr int workers_count = 3;
constexpr int slots = 6;
constexpr int requests_per_second = 20;
constexpr int usual_per_s = 4;
constexpr double hot_x = 7.5;
constexpr double hot_s = 6.5;
constexpr int time_limit_ms = 2'500;
constexpr int look_ms = 100;

bool serve(const string& id, channel& to, const message& request)
{
    if (request.target() == "/v1/report")
    {
        return to.send(answer_text("200 OK", "{\"seq\":0,\"models\":[]}",
                                   "Content-Type: application/json\r\n"));
    }
    if (!is_for(id, request))
    {
        return to.send(misdirected(request));
    }
    sleep_ms(30);
    const string body = "log of " + request.target();
    string answer = answer_text("200 OK", body, worker_fields(id, request));
    if (request.method() == "HEAD")
    {
        answer.resize(answer.size() - body.size());
    }
    return to.send(answer);
}

/// A caller that keeps its channel and asks with HEAD and GET in turn. Returns
/// how many answers were followed by bytes that are no answer.
int call_in_turn(const address& to, double until)
{
    int strays = 0;
    auto it = std::make_unique<channel>(to);
    for (int n = 0; seconds_now() < until; ++n)
    {
        const string method = n % 2 == 0 ? "HEAD" : "GET";
        const string id = "turn-" + std::to_string(n);
        message answer;
        const bool is_answered =
            it->send(request_text(method, "/log/1", id, time_limit_ms)) &&
            read_head(*it, answer, time_limit_ms) &&
            // The answer to HEAD has no body, whatever its length says.
            (method == "HEAD" || read_body(*it, answer, time_limit_ms));
        if (!is_answered)
        {
            record(id + " " + method + ": no answer");
            it = std::make_unique<channel>(to);
            continue;
        }
        while (it->receive(look_ms))
        {
        }
        string line = id + " " + method + ": " + answer.first_line;
        if (!it->buf().empty())
        {
            ++strays;
            line += "; then, with no request waiting: " + it->buf();
            it = std::make_unique<channel>(to);
        }
        record(line);
        sleep_ms(1'000 / usual_per_s - look_ms);
    }
    return strays;
}

bool run(const string& folder)
{
    // Its threads go on until the process ends.
    store& platform = *new store;
    std::vector<std::unique_ptr<server>> workers;
    for (int n = 0; n < workers_count; ++n)
    {
        const string id = "i-" + std::to_string(n + 1);
        workers.push_back(std::make_unique<server>(
            address{"127.0.0.1", 0}, [id](channel& to, const message& it)
            { return serve(id, to, it); }));
        platform.put("servers", id,
                     worker_entry("ledger-app", workers.back()->at(), slots));
    }
    platform.put("config", "main",
                 desired_state({route("log", "safe", "ledger-app", 2'500)},
                               {"ledger-app"}, requests_per_second));
    hosts fleet(hosts_count, platform, folder);
    record("entry hosts are ready");
    const double began = seconds_now();
    std::vector<std::thread> hot;
    const auto ask = [&](int n)
    {
        channel it(fleet.front(0));
        message answer;
        const string id = "hot-" + std::to_string(n);
        if (it.send(request_text("GET", "/log/2", id, time_limit_ms)) &&
            read_head(it, answer, time_limit_ms))
        {
            record(id + " GET: " + answer.first_line);
        }
    };
    std::thread more(
        [&]
        {
            if (!has_trouble())
            {
                return;
            }
            sleep_ms(4'000);
            record("the tenant sends many times its usual");
            const double until = seconds_now() + hot_s;
            for (int n = 0; seconds_now() < until; ++n)
            {
                hot.emplace_back(ask, n);
                // The usual requests go on beside these.
                sleep_ms(static_cast<std::int64_t>(
                    1'000 / (usual_per_s * (hot_x - 1))));
            }
            record("the tenant sends as usual");
        });
    const int strays = call_in_turn(fleet.front(0), began + 14);
    more.join();
    for (std::thread& it : hot)
    {
        it.join();
    }
    record("answers followed by bytes that are no answer: " +
           std::to_string(strays));
    return strays > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
