#ifndef EGRETRACK_BASE_EVENT_TABLE_H_
#define EGRETRACK_BASE_EVENT_TABLE_H_

#include <array>
#include <cstddef>
#include <utility>
#include <variant>

namespace egretrack {

// Dispatch table that calls one member function for each alternative of a
// variant. `Members` are in the order of the alternatives; each takes its
// alternative by reference, followed by the other arguments of Call().
template <typename Variant, auto... Members>
class event_table {
 public:
  static_assert(sizeof...(Members) == std::variant_size_v<Variant>);

  template <typename Owner, typename... Args>
  static void Call(Owner& owner, Variant& event, Args&... args) {
    CallIndexed(std::index_sequence_for<decltype(Members)...>(), owner, event,
                args...);
  }

 private:
  template <std::size_t Index, auto Member, typename Owner, typename... Args>
  static void CallOne(Owner& owner, Variant& event, Args&... args) {
    (owner.*Member)(*std::get_if<Index>(&event), args...);
  }

  template <std::size_t... Indexes, typename Owner, typename... Args>
  static void CallIndexed(std::index_sequence<Indexes...> /*indexes*/,
                          Owner& owner,
                          Variant& event,
                          Args&... args) {
    using call = void (*)(Owner&, Variant&, Args & ...);
    static constexpr std::array<call, sizeof...(Members)> kCalls{
        &CallOne<Indexes, Members, Owner, Args...>...};
    kCalls[event.index()](owner, event, args...);
  }
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_EVENT_TABLE_H_
